"""The outcome that is recorded under a claim, to answer resends with."""

import base64
import json

import msgspec


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """An answer as the first send got it.

    :param text: the completion of a model service, else ``''``.
    :param body: a plain service's body, else ``b''``.
    """

    status: int
    content_type: str
    body: bytes = b''
    text: str = ''
    tokens: int = 0

    def to_bytes(self) -> bytes:
        fields = msgspec.structs.asdict(self)
        fields['body'] = base64.b64encode(self.body).decode()
        return json.dumps(fields).encode()


def from_bytes(data: bytes) -> Outcome:
    """Read what :meth:`Outcome.to_bytes` wrote."""
    fields = json.loads(data)
    fields['body'] = base64.b64decode(fields['body'])
    return Outcome(**fields)
