"""Holds replies back until what they tell is synced."""

from collections import abc
import typing

from . import parts


class SyncGate:
    """Orders replies after the records that they depend on.

    Without it a voter could tell of a promise, lose power before the sync,
    and come back free to break it: two proposers would both think that they
    have the majority.

    :param prefix: tokens start with it, so that parts can share a journal.
    """

    def __init__(self, *, prefix: str) -> None:
        self._prefix = prefix
        self._count = 0
        self._sends_by_token: dict[str, list[parts.Send]] = {}

    def reply(
        self,
        records: abc.Sequence[typing.Any],
        sends: abc.Sequence[parts.Send],
    ) -> list[typing.Any]:
        """Return what is to be done now for replies and their records."""
        if records:
            self._count += 1
            token = f'{self._prefix}:{self._count}'
            self._sends_by_token[token] = list(sends)
            return [parts.Persist(token=token, records=tuple(records))]
        if self._sends_by_token:
            # A reply without records of its own still tells of the state
            # that unsynced records have made.
            latest = next(reversed(self._sends_by_token))
            self._sends_by_token[latest].extend(sends)
            return []
        return list(sends)

    def persisted(self, token: str) -> list[parts.Send]:
        """Return the replies that may leave now."""
        return self._sends_by_token.pop(token, [])
