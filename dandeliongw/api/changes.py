"""Proposes changes of the document, for both the API and the console."""

import re

from loguru import logger

from .. import document as documents
from . import operator_interface

#: Pattern of a change id. The client chooses it; a retry uses the same id.
CHANGE_ID_PATTERN = r'^[A-Za-z0-9._-]{1,64}$'


def is_change_id(text: str) -> bool:
    """Whether the text is a valid change id."""
    return re.fullmatch(CHANGE_ID_PATTERN, text) is not None


def propose(
    control: operator_interface.Control,
    *,
    change_id: str,
    author: str,
    expected_revision: int,
    document: documents.Document,
) -> operator_interface.ProposeResult:
    """Propose a validated document; log the operator and the result."""
    result = control.propose(
        change_id=change_id,
        author=author,
        expected_revision=expected_revision,
        document=documents.document_bytes(document),
    )
    logger.info(
        'document change',
        operator=author,
        change_id=change_id,
        expected_revision=expected_revision,
        result=type(result).__name__,
        revision=_revision_of(result),
    )
    return result


def _revision_of(result: operator_interface.ProposeResult) -> int | None:
    if isinstance(result, operator_interface.Applied):
        return result.revision
    if isinstance(result, operator_interface.Conflict):
        return result.current.revision
    return None
