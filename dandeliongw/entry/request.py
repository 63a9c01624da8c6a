"""The state of one request in flight at its entry."""

import enum
import hashlib

import msgspec

from .. import effects
from .. import events
from .. import verdict
from . import admission
from ..cell import cell_types
from ..cell import cells
from ..coordination import origins
from ..coordination import presence

_NOT_RUN = verdict.Verdict.NOT_RUN


class Phase(enum.Enum):
    """The phase of a request's life cycle."""

    #: It waits until its account's rate is charged.
    CHARGING = 'charging'
    #: Its call is quarantined; it waits for permission to run as a trial.
    ASKING = 'asking'
    CLAIMING = 'claiming'
    #: It takes up a stream; what began that is looked up.
    RESOLVING = 'resolving'
    BOOKING = 'booking'
    QUEUED = 'queued'
    PREFILL = 'prefill'
    DECODE = 'decode'
    CALL = 'call'
    #: Waits before its next attempt begins.
    BACKOFF = 'backoff'
    RECORDING = 'recording'


#: Phases in which a backend server may be working on the request.
WORKING = (Phase.PREFILL, Phase.DECODE, Phase.CALL)
#: Seconds for which a prefill's result is kept, unless the document sets it.
#: The engines evict it in under 1 s.
DEFAULT_KV_LIFE_S = 0.7
#: Phases in which the owner has yet to place the request.
UNPLACED = (Phase.BOOKING, Phase.QUEUED)


class BookedBackend(msgspec.Struct, frozen=True, kw_only=True):
    """The backend server that runs a step of a request."""

    start: presence.BackendStart
    url: str


class PendingWithdrawal(msgspec.Struct, frozen=True, kw_only=True):
    """A step under way at a backend server whose leave was heard.

    :param is_checked: whether it was broken off if it seemed unreceived.
    """

    attempt_id: str
    step: events.Step
    backend_id: str
    heard_at: float
    is_checked: bool = False


class Request(msgspec.Struct, kw_only=True):
    """One request in flight.

    :param known: proved verdict on whether the request has run, its earlier
        sends included.
    :param claim_key: set while this entry holds a claim for it.
    :param charged: what its account was charged for it.
    :param charged_at: the instance to which a refund goes, or ``''``.
    :param charged_in: the intervals of windows in which it was charged, see
        ``granted_in`` and ``used_in`` of :class:`.rates.ChargeResult`.
    :param sends: to backend servers so far, as :mod:`.sends` counts them.
    :param reserved_sends: taken from the retry budget and not yet made.
    :param reserved_at: when they were last taken.
    :param has_prefilled: whether an engine has accepted a prefill.
    :param rebookings: how often it was booked on backend servers that have
        left, and then anew.
    :param serial: numbers the attempt ids; grows faster than ``attempts``,
        because each owner that is asked gets an id of its own.
    :param search_timeout_s: timeout in seconds of a search for an owner.
    :param trial_of: quarantined suspects of which this is the one send that
        runs as a trial; empty if it is none.
    :param origin: what began its stream, and alone may run it; ``None``
        before the first booking.
    :param needs_sole_version: it takes up a stream and doesn't say what began
        it, so it runs only where there is a single software version.
    :param is_answer_held: whether its first piece waits until other instances
        keep its origin.
    :param is_held: whether an owner may hold a reservation for it.
    :param last_resume_offset: offset of the last resume, in pieces; a second
        interruption at the same offset means that resuming does not help.
    :param reclaimed_at: when the booking, made by an earlier owner, was first
        reclaimed at the present owner.
    :param cancels_by_attempt: cancels to repeat when the thread has ended the
        step of an aborted attempt.
    """

    request_id: str
    call: events.Call
    admitted: admission.Admitted
    cell: str
    arrived_at: float
    deadline_at: float
    phase: Phase
    phase_at: float
    stage: cell_types.Stage
    search_timeout_s: float
    known: verdict.Verdict = _NOT_RUN
    claim_key: str = ''
    charged: float = 0.0
    charged_at: str = ''
    charged_in: tuple[int, int] = (0, 0)
    attempts: int = 0
    sends: int = 0
    reserved_sends: int = 0
    reserved_at: float = 0.0
    has_prefilled: bool = False
    rebookings: int = 0
    serial: int = 0
    owner: str = ''
    asked_at: float = 0.0
    #: Whether this entry booked itself, because the owner is unresponsive.
    is_unowned: bool = False
    tries: int = 0
    redirects: int = 0
    owner_replied_at: float = 0.0
    #: Epoch of the owner that has queued it.
    queued_epoch: int = 0
    #: Whether that owner takes renewals of queued requests in one message.
    is_renewed_together: bool = False
    trial_of: tuple[str, ...] = ()
    origin: origins.StreamOrigin | None = None
    needs_sole_version: bool = False
    is_answer_held: bool = False
    is_held: bool = False
    booked: cells.Booked | None = None
    withdrawal: PendingWithdrawal | None = None
    reclaimed_at: float | None = None
    exclude: tuple[str, ...] = ()
    retry_at: float = 0.0
    kv: str = ''
    kv_id: str = ''
    kv_source: str = ''
    kv_at: float = 0.0
    prefill_s: float = 0.0
    prefilled_tokens: int = 0
    #: Number of attempts that a backend server may have run.
    runs: int = 0
    #: Whether a backend server failed that may have begun to run it.
    has_failed: bool = False
    #: When the client last got a piece; at first, when the request arrived.
    last_piece_at: float = 0.0
    last_resume_offset: int = -1
    caller_gone: bool = False
    is_ended: bool = False
    cancels_by_attempt: dict[str, tuple[cells.CancelStream, ...]] = (
        msgspec.field(default_factory=dict)
    )

    @property
    def attempt_id(self) -> str:
        """Unique, as request ids are; sent to every backend server."""
        return f'{self.request_id}.{self.serial}'

    @property
    def may_run_again(self) -> bool:
        """Whether another attempt is safe: idempotent, or never run."""
        return self.admitted.route.idempotent or self.known is _NOT_RUN

    @property
    def may_run_elsewhere(self) -> bool:
        """Whether its stream may continue elsewhere after a failure.

        A call that is forwarded unchanged runs anew at each engine that it is
        sent to. Other calls run once, even if their KV cache is moved.
        """
        return not self.admitted.is_pass_through or self.may_run_again

    @property
    def has_used_up_runs(self) -> bool:
        """Whether no further backend server may run it."""
        most = self.admitted.max_runs
        return most is not None and self.runs >= most

    @property
    def kv_life_s(self) -> float:
        """Seconds for which the engine keeps a prefill's result."""
        return self.admitted.service.kv_life_s or DEFAULT_KV_LIFE_S

    @property
    def is_trial(self) -> bool:
        """Whether it runs as a trial of something quarantined."""
        return bool(self.trial_of)

    @property
    def is_running(self) -> bool:
        """Whether a backend server may be running it now."""
        if self.phase is Phase.PREFILL and self.admitted.is_pass_through:
            return False
        return self.phase in WORKING

    @property
    def is_placed(self) -> bool:
        """Whether it runs in a slot that an owner has booked for it."""
        return self.is_held and self.phase in WORKING

    @property
    def service(self) -> str:
        return self.admitted.service.name

    def booked_backend(self, step: events.Step) -> BookedBackend:
        """Return the backend server that was booked for a step."""
        booked = self.booked
        match step:
            case events.Step.PREFILL:
                found = (
                    booked.prefill_id,
                    booked.prefill_incarnation,
                    booked.prefill_url,
                )
            case events.Step.DECODE:
                found = (
                    booked.decode_id,
                    booked.decode_incarnation,
                    booked.decode_url,
                )
            case _:
                found = (
                    booked.plain_id,
                    booked.plain_incarnation,
                    booked.plain_url,
                )
        backend_id, incarnation, url = found
        start = presence.BackendStart(
            backend_id=backend_id, incarnation=incarnation
        )
        return BookedBackend(start=start, url=url)

    def duration(
        self, phase: effects.RequestPhase, seconds: float
    ) -> effects.PhaseDuration:
        """Return the effect that records the duration of a part."""
        return effects.PhaseDuration(
            phase=phase, service=self.service, seconds=seconds
        )

    def left_s(self, now: float) -> float:
        """Return the seconds until the deadline, at least 0."""
        return max(0.0, self.deadline_at - now)

    def age_ms(self, now: float) -> int:
        """Return the milliseconds since it arrived."""
        return round((now - self.arrived_at) * 1000)

    def remaining_patience_s(self, now: float) -> float:
        """Return the seconds in which the client needs its next piece.

        If the request is placed later, the client has disconnected by then.
        """
        if self.admitted.patience_s is None:
            return self.left_s(now)
        until = self.last_piece_at + self.admitted.patience_s
        return max(0.0, min(self.deadline_at, until) - now)

    def placement_timeout_s(self, now: float) -> float:
        """Return the seconds within which it has to be placed."""
        if self.stage is not cell_types.Stage.DECODE or not self.kv:
            return self.remaining_patience_s(now)
        kept_until = self.kv_at + self.kv_life_s
        return max(0.0, min(self.remaining_patience_s(now), kept_until - now))

    def verdict_if_aborted(self) -> verdict.Verdict:
        """Return the verdict that is proved if it is aborted now."""
        if self.phase is Phase.RECORDING:
            return verdict.Verdict.RAN
        if self.is_running:
            return verdict.Verdict.MAY_HAVE_RUN
        return self.known

    def drop_kv(self) -> None:
        """Drop the prefill's result, which is lost or no longer of use."""
        self.kv = ''
        self.kv_id = ''
        self.kv_source = ''
        self.prefilled_tokens = 0


def claim_key(request: Request) -> str:
    """Return a claim key that is unique per account, service and key."""
    fields = (
        request.admitted.account.name,
        request.call.service,
        request.call.idempotency_key or '',
    )
    # The length prefix distinguishes ('ab', 'c') from ('a', 'bc').
    joined = ''.join(f'{len(field)}:{field}' for field in fields)
    return hashlib.sha256(joined.encode()).hexdigest()
