"""Which fields hold secrets, judged by their names."""

HIDDEN = '[hidden]'

_SECRET_ENDINGS = frozenset(
    {'secret', 'token', 'password', 'authorization', 'cookie'}
)
_KEY_NAMES = frozenset({'key', 'api_key', 'backend_key'})
_DIGEST_ENDING = 'sha256'


def is_secret(name: str) -> bool:
    """Whether a field of this name holds a secret.

    Its last word decides: ``form_token`` does, ``first_token_s`` and
    ``max_tokens`` are a time and a count, ``bytes_per_token`` a rate.
    """
    lowered = name.lower().replace('-', '_')
    if '_per_' in lowered:
        return False
    ending = lowered.rpartition('_')[2]
    return ending in _SECRET_ENDINGS or lowered in _KEY_NAMES


def may_be_secret(name: str) -> bool:
    """Whether a person may have put a secret there by mistake.

    The secret itself is easily pasted where its digest belongs.
    """
    ending = name.lower().rpartition('_')[2]
    return is_secret(name) or ending == _DIGEST_ENDING
