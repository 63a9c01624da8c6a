"""Why the result of a prefill was thrown away or computed again."""

import enum


class WasteReason(enum.StrEnum):
    """Why prefill work was wasted (a metric label)."""

    CALLER_GONE = 'caller_gone'
    DEADLINE_PASSED = 'deadline_passed'
    PREFILL_FAILED = 'prefill_failed'
    IMPORT_REFUSED = 'import_refused'
    TRANSFER_STALLED = 'transfer_stalled'
    KV_EVICTED = 'kv_evicted'
    STREAM_BROKEN = 'stream_broken'
    BACKEND_LEFT = 'backend_left'
    OWNER_CHANGED = 'owner_changed'
    QUARANTINED = 'quarantined'
    #: The account's key was taken away, or that could not be ruled out.
    KEY_UNPROVED = 'key_unproved'
