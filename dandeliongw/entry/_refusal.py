"""Refusals of calls that were sent to no backend server."""

from .. import verdict

#: ``Retry-After`` in seconds of refusals for a transient reason.
TRANSIENT_RETRY_S = 1.0


def not_run(
    reason: verdict.RefusalReason,
    message: str,
    retry_after_s: float | None = None,
) -> verdict.Refusal:
    """Return a refusal of a call that was sent to no backend server."""
    return verdict.Refusal(
        reason=reason,
        verdict=verdict.Verdict.NOT_RUN,
        message=message,
        retry_after_s=retry_after_s,
    )
