"""Decides by a field's name whether it holds a secret."""

HIDDEN = '[hidden]'

_SECRET_ENDINGS = frozenset(
    {'secret', 'token', 'password', 'authorization', 'cookie'}
)
_KEY_NAMES = frozenset({'key', 'api_key', 'backend_key', 'apikeys'})
_DIGEST_ENDING = 'sha256'


def is_secret(name: str) -> bool:
    """Return whether a field of this name holds a secret.

    The last word of the name decides: ``form_token`` is a secret, but
    ``first_token_s`` is a time and ``max_tokens`` a count. Names with
    ``_per_`` are rates, such as ``bytes_per_token``.
    """
    lowered = name.lower().replace('-', '_')
    if '_per_' in lowered:
        return False
    ending = lowered.rpartition('_')[2]
    return ending in _SECRET_ENDINGS or lowered in _KEY_NAMES


def may_be_secret(name: str) -> bool:
    """Return whether a user may have put a secret there by mistake.

    A secret is easily pasted where its digest belongs.
    """
    ending = name.lower().rpartition('_')[2]
    return is_secret(name) or ending == _DIGEST_ENDING
