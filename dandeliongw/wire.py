"""The codec of all messages between instances and all journal records."""

from .cell import cells
from .codec import Codec
from .coordination import claim_messages
from .coordination import lease_messages
from .coordination import membership
from .coordination import origins
from .coordination import presence
from .coordination import quarantine
from .coordination import rates
from .coordination import register_messages
from .protocol import cells_pb2
from .protocol import claims_pb2
from .protocol import lease_pb2
from .protocol import membership_pb2
from .protocol import origins_pb2
from .protocol import presence_pb2
from .protocol import quarantine_pb2
from .protocol import rates_pb2
from .protocol import register_pb2

MESSAGES = (
    *register_messages.MESSAGES,
    *claim_messages.MESSAGES,
    *lease_messages.MESSAGES,
    *membership.MESSAGES,
    *presence.MESSAGES,
    *origins.MESSAGES,
    *quarantine.MESSAGES,
    *rates.MESSAGES,
    *cells.MESSAGES,
)
RECORDS = (
    *register_messages.RECORDS,
    *claim_messages.RECORDS,
    *lease_messages.RECORDS,
    *presence.RECORDS,
    *origins.RECORDS,
    *quarantine.RECORDS,
)


def make_codec() -> Codec:
    """Return the codec for peers and for the journal."""
    return Codec(
        # A type can be both a message and a record, such as a claim's slot
        # that is sent to a replica.
        data_classes=dict.fromkeys((*MESSAGES, *RECORDS)),
        wire_modules=(
            register_pb2,
            claims_pb2,
            lease_pb2,
            membership_pb2,
            presence_pb2,
            origins_pb2,
            quarantine_pb2,
            rates_pb2,
            cells_pb2,
        ),
    )
