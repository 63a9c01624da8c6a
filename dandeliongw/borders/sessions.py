"""Signed cookies of operators who are signed in to the console.

The cookie holds no secret and the server keeps no list: the signature's key
comes from the instances' own secret, so a session goes on at any instance
and after a restart. It ends with its time, or when the operator's token is
replaced in the settings.
"""

from collections import abc
import hashlib
import hmac
import secrets
import time

from .. import settings as settings_module

LIFETIME_S = 8 * 3600
COOKIE_NAME = 'dandeliongw_session'
_PURPOSE = b'dandeliongw console sessions'
_NONCE_BYTES = 16


class Sessions:
    """Makes and checks cookies and form tokens.

    :param clock: seconds since the epoch; cookies outlive the process.
    """

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        clock: abc.Callable[[], float] = time.time,
    ) -> None:
        self._clock = clock
        self._operators_by_name = {
            operator.name: operator for operator in settings.operators
        }
        secret = settings.peer_secret or secrets.token_hex()
        self._key = hmac.digest(secret.encode(), _PURPOSE, 'sha256')

    def make_cookie(self, operator: settings_module.Operator) -> str:
        """Return the cookie of an operator who has just shown the token."""
        expires = int(self._clock()) + LIFETIME_S
        nonce = secrets.token_hex(_NONCE_BYTES)
        content = f'{operator.name}.{expires}.{nonce}'
        return f'{content}.{self._sign(content, operator)}'

    def find_operator(self, cookie: str) -> settings_module.Operator | None:
        """Return whose cookie it is; ``None`` if forged or out of time."""
        content, _, signature = cookie.rpartition('.')
        name, _, rest = content.partition('.')
        operator = self._operators_by_name.get(name)
        if operator is None:
            return None
        expected = self._sign(content, operator)
        if not hmac.compare_digest(expected.encode(), signature.encode()):
            return None
        # Signed by us, so it has the form that make_cookie gave it.
        expires = int(rest.partition('.')[0])
        return operator if self._clock() < expires else None

    def form_token(self, cookie: str) -> str:
        """Return what every form of this session carries.

        Another site can make a browser send a form, but can't read this.
        """
        return self._digest('form', cookie)

    def is_form_token(self, cookie: str, given: str) -> bool:
        """Whether a form was made for this session."""
        expected = self.form_token(cookie).encode()
        return hmac.compare_digest(expected, given.encode())

    def _sign(self, content: str, operator: settings_module.Operator) -> str:
        return self._digest('cookie', content, operator.token_sha256)

    def _digest(self, *parts: str) -> str:
        # Each part's length is signed too, so parts can't be shifted.
        message = ''.join(f'{len(part)}:{part}' for part in parts)
        return hmac.new(
            self._key, message.encode(), hashlib.sha256
        ).hexdigest()
