"""Sessions of the console, as signed cookies.

The cookie contains no secret and the server stores no sessions. The signing
key is derived from the instances' shared secret, so a session is valid at
any instance and after a restart. It ends when it expires, or when the
operator's token is replaced in the settings.
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
    """Creates and verifies session cookies and form tokens.

    :param clock: returns seconds since the Unix epoch; a monotonic clock
        wouldn't do, as cookies stay valid after a restart.
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
        """Return a new cookie for an operator who has just signed in."""
        expires = int(self._clock()) + LIFETIME_S
        nonce = secrets.token_hex(_NONCE_BYTES)
        content = f'{operator.name}.{expires}.{nonce}'
        return f'{content}.{self._sign(content, operator)}'

    def find_operator(self, cookie: str) -> settings_module.Operator | None:
        """Return the cookie's operator; ``None`` if forged or expired."""
        content, _, signature = cookie.rpartition('.')
        name, _, rest = content.partition('.')
        operator = self._operators_by_name.get(name)
        if operator is None:
            return None
        expected = self._sign(content, operator)
        if not hmac.compare_digest(expected.encode(), signature.encode()):
            return None
        # The signature is valid, so the format is that of make_cookie().
        expires = int(rest.partition('.')[0])
        return operator if self._clock() < expires else None

    def form_token(self, cookie: str) -> str:
        """Return the token in every form of this session (against CSRF).

        Another site can make a browser send a form, but can't read the token.
        """
        return self._digest('form', cookie)

    def is_form_token(self, cookie: str, given: str) -> bool:
        """Whether the form token belongs to this session."""
        expected = self.form_token(cookie).encode()
        return hmac.compare_digest(expected, given.encode())

    def _sign(self, content: str, operator: settings_module.Operator) -> str:
        return self._digest('cookie', content, operator.token_sha256)

    def _digest(self, *parts: str) -> str:
        # The length of each part is signed too. Without it, characters could
        # move from one part to the next under the same signature.
        message = ''.join(f'{len(part)}:{part}' for part in parts)
        return hmac.new(
            self._key, message.encode(), hashlib.sha256
        ).hexdigest()
