"""Whether a request may have run, and why one was refused or tried again.

Every answer that is not the caller's own result carries a :class:`Verdict`.
The reasons are enums so that a metric label, a log field, a JSON error and a
docs table can never disagree: all four are made from the same members.
"""

import enum

import msgspec


class Verdict(enum.StrEnum):
    """What is known about a request's effect on a backend server."""

    #: Proved: no byte was sent, or the backend server said it did not run.
    #: The only verdict that allows a non-idempotent call another try.
    NOT_RUN = 'not_run'
    #: Nothing proves either case; the caller must not assume one.
    MAY_HAVE_RUN = 'may_have_run'
    #: A backend server ran it.
    RAN = 'ran'


class RefusalReason(enum.StrEnum):
    """Why a request got an error instead of a result (a counter label)."""

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
    TARGET_UNREACHABLE = 'target_unreachable'
    DEADLINE_PASSED = 'deadline_passed'
    CALLER_GONE = 'caller_gone'
    KEY_REUSED = 'key_reused'
    IN_PROGRESS = 'in_progress'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    CLAIMS_UNAVAILABLE = 'claims_unavailable'
    #: It ended the backend servers that began to run it.
    QUARANTINED = 'quarantined'
    BACKEND_FAILED = 'backend_failed'
    RETRIES_SPENT = 'retries_spent'


class RetryReason(enum.StrEnum):
    """Why another attempt was made (a counter label)."""

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
    """A sentinel returned in place of a result.

    :param reason: why, from the closed set that metrics and docs list.
    :param verdict: whether the request may have run.
    :param message: one sentence for a person; names the bad value.
    :param retry_after_s: seconds after which another try makes sense, or
        ``None`` where a resend of the same request can't help.
    """

    reason: RefusalReason
    verdict: Verdict
    message: str
    retry_after_s: float | None = None
