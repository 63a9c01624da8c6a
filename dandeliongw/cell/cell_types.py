"""The types that describe a cell's work, terms and backend servers.

Times are monotonic seconds of the owner's instance.
"""

import enum
import math

import msgspec


class Stage(enum.StrEnum):
    """What a booking has to cover."""

    #: A prefill engine and a decode engine.
    PAIR = 'pair'
    #: Another decode engine, after the prefill has ended.
    DECODE = 'decode'
    #: A plain service.
    PLAIN = 'plain'


class Role(enum.StrEnum):
    """What kind of work a backend server does."""

    PREFILL = 'prefill'
    DECODE = 'decode'
    PLAIN = 'plain'


ROLES_BY_STAGE = {
    Stage.PAIR: (Role.PREFILL, Role.DECODE),
    Stage.DECODE: (Role.DECODE,),
    Stage.PLAIN: (Role.PLAIN,),
}


class Weights(msgspec.Struct, frozen=True, kw_only=True):
    """Weights of the two objectives of a service."""

    goodput: float = 1.0
    wasted_prefill: float = 1.0


class CellTerms(msgspec.Struct, frozen=True, kw_only=True):
    """The settings of a cell's service, from the document.

    :param first_token_s: target from arrival to first token.
    :param token_gap_s: target between tokens.
    :param timeout_s: longest life of a request.
    :param prefill_tokens_per_s: of one prefill engine.
    :param decode_tokens_per_s: of one stream in a full batch, until a rate
        has been measured.
    :param tokens_per_piece: tokens in one piece of a streamed answer.
    :param kv_bytes_per_token: size of the KV cache that moves.
    :param link_bytes_per_s: of the link out of one prefill engine.
    :param slots_by_role: used where an announcement says none.
    :param kv_tokens_by_role: capacity of one engine's KV cache, in tokens; a
        role that is missing is bounded by its slots alone.
    :param whole_kv_tokens_by_role: the same where ``kv_tokens_by_role`` is
        the part that a cell may use; ``None`` where it may use all.
    :param max_wait_s_by_priority: how much longer than ``first_token_s`` a
        request may wait for its first token.
    :param rank_by_priority: lower goes first.
    :param share_by_account: weight of each client account; one if absent.
    """

    first_token_s: float
    token_gap_s: float
    timeout_s: float
    weights: Weights = Weights()
    prefill_tokens_per_s: float = 10_000.0
    decode_tokens_per_s: float = 30.0
    tokens_per_piece: int = 1
    kv_bytes_per_token: float = 100_000.0
    link_bytes_per_s: float = 10e9
    slots_by_role: dict[str, int] = msgspec.field(default_factory=dict)
    kv_tokens_by_role: dict[str, int] = msgspec.field(default_factory=dict)
    whole_kv_tokens_by_role: dict[str, int] | None = None
    max_wait_s_by_priority: dict[str, float] = msgspec.field(
        default_factory=dict
    )
    rank_by_priority: dict[str, int] = msgspec.field(default_factory=dict)
    share_by_account: dict[str, float] = msgspec.field(default_factory=dict)


class CellBackend(msgspec.Struct, frozen=True, kw_only=True):
    """A backend server that may get work now.

    :param software_version: as announced, or ``''``.
    """

    backend_id: str
    incarnation: int
    role: Role
    url: str
    slots: int
    data_centre: str = ''
    software_version: str = ''


class Booking(msgspec.Struct, kw_only=True, eq=False):
    """One reservation: a lease that the entry renews."""

    request_id: str
    attempt_id: str
    entry: str
    account: str
    priority: str
    stage: Stage
    prompt_tokens: int
    max_tokens: int
    prefix: tuple[str, ...]
    exclude: tuple[str, ...]
    arrived_at: float
    deadline_at: float
    renewed_at: float
    prefill_id: str = ''
    decode_id: str = ''
    plain_id: str = ''
    #: When the booked work starts; ``None`` while it waits in the queue.
    start_at: float | None = None
    #: When the queue is expected to let it start.
    expected_at: float = 0.0
    #: Until when it may wait, computed at admission.
    latest_start_at: float = math.inf
    prefill_done: bool = False
    #: The client's hint of the answer's length, in tokens; 0 for none.
    expected_tokens: int = 0
    #: A decode engine can do the prefill itself.
    may_read_there: bool = False
    #: The only software version whose decode engines may run it; ``None`` for
    #: any.
    software_version: str | None = None
    #: Seconds from its arrival to its first token; 0 for the service's target.
    target_s: float = 0.0
    #: The client was refused before and won't send the request again.
    resent: bool = False
    #: Expected length of its answer, in tokens, as predicted at the given
    #: ratio; see ``CellView.answer_tokens``.
    expected_answer_tokens: float = 0.0
    expected_answer_ratio: float | None = None
    #: Predictions, updated as events come in; zero if there is none. The
    #: first is a duration, the others are times.
    prefill_work_s: float = 0.0
    prefill_ends_at: float = 0.0
    transfer_starts_at: float = 0.0
    transfer_ends_at: float = 0.0
    decode_ends_at: float = 0.0

    @property
    def key(self) -> tuple[str, str]:
        return self.request_id, self.attempt_id

    def clear_transfer(self) -> None:
        """Discard the predictions of a transfer that won't take place."""
        self.transfer_starts_at = 0.0
        self.transfer_ends_at = 0.0
        self.decode_ends_at = 0.0
