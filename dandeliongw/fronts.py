"""Backend servers that talk to this instance, and who dispatches to them."""

import typing

from . import directory as directory_module
from . import effects
from .coordination import presence

#: The owner of a backend server's cell, and the deputy next to it.
DISPATCHERS = 2


class Fronts:
    """Sees to it that dispatchers hear what backend servers say here."""

    def __init__(self, *, directory: directory_module.Directory) -> None:
        self._directory = directory
        self._announcements_by_id: dict[str, presence.BackendAnnouncement] = {}
        self._dispatchers_by_id: dict[str, tuple[str, ...]] = {}

    def announced(
        self, now: float, announcement: presence.BackendAnnouncement
    ) -> list[typing.Any]:
        """Note a backend server; its dispatchers are told in any case."""
        backend_id = announcement.backend_id
        self._announcements_by_id[backend_id] = announcement
        self._dispatchers_by_id.pop(backend_id, None)
        return self._forward(now, announcement)

    def review(self, now: float) -> list[typing.Any]:
        """Tell presence whose dispatchers have changed."""
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
        if self._directory.tells_all:
            return self._directory.all_ids()
        return self._directory.owners_of(cell)[:DISPATCHERS]
