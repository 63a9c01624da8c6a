"""Decides which instances get the messages of which backend servers.

A backend server announces itself to one instance and renews there. That
instance forwards announcement and renewals to the instances that dispatch
requests to the backend server.
"""

import typing

from . import directory as directory_module
from . import effects
from .coordination import presence

#: Dispatchers of a backend server: the owner of its cell and the first deputy.
DISPATCHERS = 2


class BackendForwarding:
    """Keeps the forwarding targets of each backend server announced here."""

    def __init__(self, *, directory: directory_module.Directory) -> None:
        self._directory = directory
        self._announcements_by_id: dict[str, presence.BackendAnnouncement] = {}
        self._dispatchers_by_id: dict[str, tuple[str, ...]] = {}

    def add(
        self, now: float, announcement: presence.BackendAnnouncement
    ) -> list[typing.Any]:
        """Add a backend server, or update it from a later announcement.

        The announcement is forwarded even if the dispatchers are the same
        as before.
        """
        backend_id = announcement.backend_id
        self._announcements_by_id[backend_id] = announcement
        self._dispatchers_by_id.pop(backend_id, None)
        return self._forward(now, announcement)

    def review(self, now: float) -> list[typing.Any]:
        """Return events for the backend servers whose dispatchers changed."""
        return [
            effect
            for announcement in self._announcements_by_id.values()
            for effect in self._forward(now, announcement)
        ]

    def _forward(
        self, now: float, announcement: presence.BackendAnnouncement
    ) -> list[typing.Any]:
        backend_id = announcement.backend_id
        cell = self._directory.cell_of_backend(
            announcement.service, announcement.data_centre
        )
        dispatchers = self._dispatchers_of(cell) if cell else ()
        if self._dispatchers_by_id.get(backend_id) == dispatchers:
            return []
        self._dispatchers_by_id[backend_id] = dispatchers
        forward = presence.Forward(
            now=now, backend_id=backend_id, to=dispatchers
        )
        return [effects.Dispatch(event=forward)]

    def _dispatchers_of(self, cell: str) -> tuple[str, ...]:
        if self._directory.forwards_to_all:
            return self._directory.all_ids()
        return self._directory.owners_of(cell)[:DISPATCHERS]
