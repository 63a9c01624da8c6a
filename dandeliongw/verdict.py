"""Whether a request may have run, and why it was refused or retried.

Every answer other than a result has a :class:`Verdict`. The reasons are enums
so that metric labels, log fields, JSON errors and docs tables always agree:
all four are generated from the same members.
"""

import enum

import msgspec


class Verdict(enum.StrEnum):
    """Whether a backend server ran a request, as far as it is known."""

    #: Proved: no byte was sent, or the backend server reported that it did
    #: not run it. The only verdict with which a non-idempotent call may be
    #: retried.
    NOT_RUN = 'not_run'
    #: Neither case is proved; the client must not assume one.
    MAY_HAVE_RUN = 'may_have_run'
    #: A backend server ran it.
    RAN = 'ran'


class RefusalReason(enum.StrEnum):
    """Why a request was answered with an error (a counter label)."""

    BAD_REQUEST = 'bad_request'
    TOO_LARGE = 'too_large'
    UNKNOWN_ACCOUNT = 'unknown_account'
    ACCOUNT_LIMIT = 'account_limit'
    UNKNOWN_SERVICE = 'unknown_service'
    UNKNOWN_ROUTE = 'unknown_route'
    CONFIGURATION_STALE = 'configuration_stale'
    DRAINING = 'draining'
    INSTANCE_FULL = 'instance_full'
    NO_OWNER = 'no_owner'
    NO_BACKEND = 'no_backend'
    NO_CAPACITY = 'no_capacity'
    #: Its prompt is larger than the memory of any engine.
    EXCEEDS_MEMORY = 'exceeds_memory'
    #: No backend server of the software version that began its stream.
    VERSION_GONE = 'version_gone'
    #: What began the stream that it takes up is not known.
    STREAM_UNKNOWN = 'stream_unknown'
    #: Backend servers accept fewer requests per second than arrive.
    BACKENDS_LIMITED = 'backends_limited'
    TARGET_UNREACHABLE = 'target_unreachable'
    DEADLINE_PASSED = 'deadline_passed'
    CALLER_GONE = 'caller_gone'
    KEY_REUSED = 'key_reused'
    IN_PROGRESS = 'in_progress'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    CLAIMS_UNAVAILABLE = 'claims_unavailable'
    #: Backend servers that began to run it ended.
    QUARANTINED = 'quarantined'
    BACKEND_FAILED = 'backend_failed'
    RETRIES_SPENT = 'retries_spent'


class RetryReason(enum.StrEnum):
    """Why a request was retried (a counter label)."""

    CONNECT_REFUSED = 'connect_refused'
    BACKEND_BUSY = 'backend_busy'
    PREFILL_FAILED = 'prefill_failed'
    IMPORT_REFUSED = 'import_refused'
    TRANSFER_STALLED = 'transfer_stalled'
    KV_EVICTED = 'kv_evicted'
    STREAM_BROKEN = 'stream_broken'
    STREAM_STALLED = 'stream_stalled'
    BACKEND_LEFT = 'backend_left'
    OWNER_CHANGED = 'owner_changed'


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """A value returned in place of a result.

    :param reason: why the request was refused; metrics and docs list all
        reasons.
    :param verdict: whether the request may have run.
    :param message: one sentence for the client; names the invalid value.
    :param retry_after_s: seconds after which a retry makes sense; ``None`` if
        a retry of the same request can't succeed.
    """

    reason: RefusalReason
    verdict: Verdict
    message: str
    retry_after_s: float | None = None
