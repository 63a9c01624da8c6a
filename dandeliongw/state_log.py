"""Log lines on what the coordination parts report."""

from collections import abc
import types
import typing

from . import decisions
from . import effects
from .coordination import confirmation_status
from .coordination import presence
from .coordination import quarantine
from .coordination import rates
from .coordination import register


#: Most instances that are named in the line on an acknowledged leave.
MAX_LACKING_LOGGED = 8


def backend_changed(
    effect: presence.BackendChanged, announcement: presence.BackendAnnouncement
) -> effects.Log:
    """Return the line on a backend server that appeared or is gone."""
    state = 'present' if effect.present else 'gone'
    why = {} if effect.cause is None else {'why': effect.cause.value}
    return effects.log(
        f'backend server is {state}',
        backend_id=effect.backend_id,
        service=announcement.service,
        role=announcement.role.value,
        url=announcement.url,
        software_version=announcement.software_version,
        **why,
    )


def _departure_answered(effect: presence.DepartureAnswered) -> effects.Log:
    return decisions.DepartureAnswered(
        backend_id=effect.departure.backend_id,
        incarnation=effect.departure.incarnation,
        took_ms=round(effect.took_s * 1000),
        stored_by=effect.stored_by,
        lacking=' '.join(effect.lacking_ids[:MAX_LACKING_LOGGED]),
    ).log()


def _departure_not_kept(effect: presence.DepartureNotKept) -> effects.Log:
    return decisions.DepartureNotKept(
        backend_id=effect.departure.backend_id,
        incarnation=effect.departure.incarnation,
        stored_by=effect.stored_by,
        voters=effect.voters,
    ).log()


def departure_heard(
    effect: presence.DepartureHeard, *, is_present: bool
) -> effects.Log:
    """Return the line on a leave that this instance has learned of.

    :param is_present: whether the backend server counts as present in spite
        of it, as another start of it has begun.
    """
    return decisions.DepartureHeard(
        backend_id=effect.departure.backend_id,
        incarnation=effect.departure.incarnation,
        heard_from=effect.heard_from,
        is_present=is_present,
    ).log()


def quarantined(effect: quarantine.Quarantined) -> effects.Log:
    """Return the line on a call or part that is held back from now on."""
    facts = {
        'backend_ids': ' '.join(effect.backend_ids),
        'told_by': ' '.join(effect.told_by),
        'held_s': effect.held_s,
    }
    if effect.is_part:
        return decisions.PartQuarantined(
            part=effect.fingerprint, **facts
        ).log()
    return decisions.CallQuarantined(call=effect.fingerprint, **facts).log()


def _released(effect: quarantine.Released) -> effects.Log:
    if effect.is_part:
        return decisions.PartReleased(
            part=effect.fingerprint, why=effect.why
        ).log()
    return decisions.CallReleased(
        call=effect.fingerprint, why=effect.why
    ).log()


def _rate_reached(effect: rates.RateReached) -> effects.Log:
    line = decisions.RateReached(
        account=effect.account, refused=effect.refused
    )
    return line.log()


def _holders_silent(effect: rates.HoldersSilent) -> effects.Log:
    return decisions.HoldersSilent(account=effect.account).log()


def _holders_answering(effect: rates.HoldersAnswering) -> effects.Log:
    return decisions.HoldersAnswering(
        account=effect.account, silent_ms=round(effect.silent_s * 1000)
    ).log()


def _confirmation_lapsed(
    effect: confirmation_status.ConfirmationLapsed,
) -> effects.Log:
    return effects.log(
        'configuration not confirmed in time',
        **confirmation_fields(effect.status),
        asks=str(effect.asks),
        late_answers=str(effect.late_answers),
        level='WARNING',
    )


def _confirmation_regained(
    effect: confirmation_status.ConfirmationRegained,
) -> effects.Log:
    return effects.log(
        'configuration confirmed again',
        **confirmation_fields(effect.status),
        lapsed_s=f'{effect.lapsed_s:.2f}',
    )


def _other_register_seen(effect: register.OtherRegisterSeen) -> effects.Log:
    return effects.log(
        'ignored a configuration of another system: a process of it reaches '
        'this one',
        peer=effect.sender,
        level='WARNING',
    )


def confirmation_fields(
    status: confirmation_status.ConfirmationStatus,
) -> dict[str, str]:
    """Return the log fields on a configuration and its confirmation."""
    age_s = status.confirmed_age_s
    return {
        'revision': str(status.revision),
        'order': str(status.order),
        'confirmed_age_s': 'never' if age_s is None else f'{age_s:.2f}',
    }


#: How effects that are only logged are written.
LINES_BY_EFFECT: abc.Mapping[type, abc.Callable[[typing.Any], effects.Log]] = (
    types.MappingProxyType(
        {
            presence.DepartureAnswered: _departure_answered,
            presence.DepartureNotKept: _departure_not_kept,
            quarantine.Released: _released,
            rates.RateReached: _rate_reached,
            rates.HoldersSilent: _holders_silent,
            rates.HoldersAnswering: _holders_answering,
            register.OtherRegisterSeen: _other_register_seen,
            confirmation_status.ConfirmationLapsed: _confirmation_lapsed,
            confirmation_status.ConfirmationRegained: _confirmation_regained,
        }
    )
)
