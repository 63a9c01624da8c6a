"""Bearer tokens, stored as SHA-256 digests and compared in constant time."""

import hashlib
import hmac

from .. import settings as settings_module


def digest(token: str) -> str:
    """Return the SHA-256 digest of a token or key, in hexadecimal."""
    return hashlib.sha256(token.encode()).hexdigest()


def find_operator(
    settings: settings_module.Settings, token: str
) -> settings_module.Operator | None:
    """Return the operator that has this token, or ``None``.

    All digests are compared, each in constant time, so that the duration
    reveals nothing about them.
    """
    given = digest(token)
    found = None
    for operator in settings.operators:
        if hmac.compare_digest(operator.token_sha256, given):
            found = operator
    return found
