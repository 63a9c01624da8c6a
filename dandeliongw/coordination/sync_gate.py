"""Delays replies until the state that they report is synced."""

from collections import abc
import typing

from . import parts


class SyncGate:
    """Delays replies until the records that they depend on are synced.

    Without this, a voter could reply with a promise, lose power before the
    sync, and break the promise after its restart. Two proposers could then
    both count a majority.

    :param prefix: of all tokens, so that several parts can share a journal.
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
        """Return the effects to perform now: a sync, or the replies.

        :param records: to be synced before the replies are sent.
        :param sends: the replies.
        """
        if records:
            self._count += 1
            token = f'{self._prefix}:{self._count}'
            self._sends_by_token[token] = list(sends)
            return [parts.Persist(token=token, records=tuple(records))]
        if self._sends_by_token:
            # A reply without records of its own may still report state
            # that comes from unsynced records.
            latest = next(reversed(self._sends_by_token))
            self._sends_by_token[latest].extend(sends)
            return []
        return list(sends)

    def persisted(self, token: str) -> list[parts.Send]:
        """Return the replies that waited for this sync."""
        return self._sends_by_token.pop(token, [])
