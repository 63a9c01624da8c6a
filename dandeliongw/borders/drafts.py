"""Changes that an operator is still making in the console.

A draft lives in the memory of one instance. What leaves it is a whole
document with its expected revision and change id; these also stand in the
form that applies it, so that the form can be sent again when the draft is
gone.
"""

from collections import abc
import hashlib
import json
import secrets
import threading
import typing

import msgspec

from .. import differences
from . import control as controls

_NONCE_BYTES = 8
_DIGEST_LENGTH = 32


class Draft(msgspec.Struct, frozen=True, kw_only=True):
    """A document that may not be valid yet.

    :param base: what the operator began from.
    :param tree: plain JSON.
    :param nonce: tells this draft's change ids from all others.
    """

    base: controls.Configuration
    tree: differences.Tree
    nonce: str

    @property
    def base_tree(self) -> differences.Tree:
        """The document that the operator began from."""
        return json.loads(self.base.document)

    @property
    def change_id(self) -> str:
        """Names this content of this draft.

        The same form sent twice is one change; an edit in between makes it
        another one, which must not get the first one's result.
        """
        content = json.dumps([self.base.revision, self.tree], sort_keys=True)
        digest = hashlib.sha256(content.encode()).hexdigest()
        return f'console-{self.nonce}-{digest[:_DIGEST_LENGTH]}'

    def differences(self) -> list[differences.Difference]:
        """Return what the operator has changed so far."""
        return differences.find(self.base_tree, self.tree)


class Drafts:
    """One draft for each operator; safe to call from any thread.

    :param make_nonce: returns hexadecimal digits, never the same twice.
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
        """Return an operator's draft, if there is one."""
        with self._lock:
            return self._drafts_by_operator.get(operator)

    def edit(
        self,
        operator: str,
        current: controls.Configuration,
        revision: int,
        change: abc.Callable[[differences.Tree], differences.Tree],
    ) -> bool:
        """Change the draft, which begins from ``current`` if there is none.

        Reading and writing are one step: two tabs of one operator must not
        lose each other's edits.

        :param revision: that the edited page was made from.
        :returns: ``False`` if the draft is of another one; nothing changed.
        """
        with self._lock:
            draft = self._drafts_by_operator.get(operator)
            if draft is None:
                draft = self._begin(current)
            if draft.base.revision != revision:
                return False
            self._drafts_by_operator[operator] = msgspec.structs.replace(
                draft, tree=change(draft.tree)
            )
            return True

    def carry_over(
        self, operator: str, current: controls.Configuration
    ) -> tuple[differences.Difference, ...]:
        """Move the draft onto ``current``; return what was left out."""
        with self._lock:
            draft = self._drafts_by_operator.get(operator)
            if draft is None:
                return ()
            begun = self._begin(current)
            carried = differences.carry_over(
                base=draft.base_tree, mine=draft.tree, theirs=begun.tree
            )
            self._drafts_by_operator[operator] = msgspec.structs.replace(
                begun, tree=carried.tree
            )
            return carried.left_out

    def discard(self, operator: str, change_id: str | None = None) -> None:
        """Drop the draft.

        :param change_id: only if it still has this content; edits made
            while a change was on its way are kept.
        """
        with self._lock:
            draft = self._drafts_by_operator.get(operator)
            if draft is None:
                return
            if change_id is None or draft.change_id == change_id:
                del self._drafts_by_operator[operator]

    def _begin(self, current: controls.Configuration) -> Draft:
        tree: typing.Any = json.loads(current.document)
        return Draft(base=current, tree=tree, nonce=self._make_nonce())
