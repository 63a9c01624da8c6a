"""Drafts: changes that an operator is editing in the console.

A draft is kept in the memory of one instance. To apply it, the console
proposes a complete document with its expected revision and change id. The
form that does so contains all three, so it can be sent again when the draft
no longer exists.
"""

from collections import abc
import hashlib
import json
import secrets
import threading
import typing

import msgspec

from .. import differences
from . import operator_interface

_NONCE_BYTES = 8
_DIGEST_LENGTH = 32


class Draft(msgspec.Struct, frozen=True, kw_only=True):
    """An edited document, which may not be valid yet.

    :param base: the configuration that the draft is based on.
    :param tree: the edited document, as plain JSON values.
    :param nonce: makes this draft's change ids unique.
    """

    base: operator_interface.Configuration
    tree: differences.Tree
    nonce: str

    @property
    def base_tree(self) -> differences.Tree:
        """The document that the draft is based on."""
        return json.loads(self.base.document)

    @property
    def change_id(self) -> str:
        """The change id for the present content of this draft.

        The same form sent twice is one change. After an edit it is another
        change, which must not get the result of the first one.
        """
        content = json.dumps([self.base.revision, self.tree], sort_keys=True)
        digest = hashlib.sha256(content.encode()).hexdigest()
        return f'console-{self.nonce}-{digest[:_DIGEST_LENGTH]}'

    def differences(self) -> list[differences.Difference]:
        """Return the differences between the base and the draft."""
        return differences.find(self.base_tree, self.tree)


class Drafts:
    """The drafts, at most one for each operator; thread-safe.

    :param make_nonce: returns unique hexadecimal digits.
    """

    def __init__(
        self,
        *,
        make_nonce: abc.Callable[[], str] = lambda: secrets.token_hex(
            _NONCE_BYTES
        ),
    ) -> None:
        self._make_nonce = make_nonce
        self._lock = threading.Lock()
        self._drafts_by_operator: dict[str, Draft] = {}

    def find(self, operator: str) -> Draft | None:
        """Return the operator's draft, or ``None``."""
        with self._lock:
            return self._drafts_by_operator.get(operator)

    def edit(
        self,
        operator: str,
        current: operator_interface.Configuration,
        revision: int,
        change: abc.Callable[[differences.Tree], differences.Tree],
    ) -> bool:
        """Edit the draft; without one, start a draft based on ``current``.

        Reading and writing are atomic, so that two tabs of one operator
        don't lose each other's edits.

        :param revision: the revision that the edited page shows.
        :param change: returns the edited document.
        :returns: ``False`` if the draft is based on another revision; nothing
            was changed then.
        """
        with self._lock:
            draft = self._drafts_by_operator.get(operator)
            if draft is None:
                draft = self._start_draft(current)
            if draft.base.revision != revision:
                return False
            self._drafts_by_operator[operator] = msgspec.structs.replace(
                draft, tree=change(draft.tree)
            )
            return True

    def merge(
        self, operator: str, current: operator_interface.Configuration
    ) -> tuple[differences.Difference, ...]:
        """Rebase the draft on ``current``.

        :returns: the operator's changes that conflict and were left out.
        """
        with self._lock:
            draft = self._drafts_by_operator.get(operator)
            if draft is None:
                return ()
            rebased = self._start_draft(current)
            merged = differences.merge(
                base=draft.base_tree, mine=draft.tree, theirs=rebased.tree
            )
            self._drafts_by_operator[operator] = msgspec.structs.replace(
                rebased, tree=merged.tree
            )
            return merged.conflicts

    def discard(self, operator: str, change_id: str | None = None) -> None:
        """Delete the draft.

        :param change_id: delete it only if it still has this change id, so
            that edits made while the change was being applied are kept.
        """
        with self._lock:
            draft = self._drafts_by_operator.get(operator)
            if draft is None:
                return
            if change_id is None or draft.change_id == change_id:
                del self._drafts_by_operator[operator]

    def _start_draft(self, current: operator_interface.Configuration) -> Draft:
        tree: typing.Any = json.loads(current.document)
        return Draft(base=current, tree=tree, nonce=self._make_nonce())
