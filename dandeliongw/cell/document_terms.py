"""Converts the document and announcements to the cell's own types."""

import typing

from .. import document as document_module
from . import cell_types
from ..coordination import presence
from . import orders


def terms_of(
    described: document_module.Document, service_name: str
) -> cell_types.CellTerms | None:
    """Return a service's settings for its cells; ``None`` if it is unknown."""
    service = described.services_by_name.get(service_name)
    if service is None:
        return None
    fields: dict[str, typing.Any] = {}
    slots_by_role: dict[str, int] = {}
    kv_tokens_by_role: dict[str, int] = {}
    for pool in described.pools_of(service_name):
        slots_by_role[pool.role] = pool.slots
        if pool.kv_tokens is not None:
            kv_tokens_by_role[pool.role] = pool.kv_tokens
        _add_rates(fields, pool)
    return cell_types.CellTerms(
        first_token_s=service.first_token_s or service.timeout_s,
        token_gap_s=service.token_gap_s or service.timeout_s,
        timeout_s=service.timeout_s,
        weights=cell_types.Weights(
            goodput=service.weights.goodput,
            wasted_prefill=service.weights.wasted_prefill,
        ),
        slots_by_role=slots_by_role,
        kv_tokens_by_role=kv_tokens_by_role,
        max_wait_s_by_priority={
            each.name: each.max_wait_s for each in described.priorities
        },
        rank_by_priority={
            each.name: each.rank for each in described.priorities
        },
        share_by_account={
            each.name: each.share for each in described.accounts
        },
        **fields,
    )


def desired_by_role(
    described: document_module.Document, service_name: str
) -> dict[cell_types.Role, dict[orders.OrderKind, str]]:
    """Return what the engines of each role should load, by kind of order."""
    wanted = {}
    for pool in described.pools_of(service_name):
        values = {
            orders.OrderKind.LOAD_MODEL: pool.model,
            orders.OrderKind.LOAD_VERSION: pool.version,
            orders.OrderKind.LOAD_ADAPTER: pool.adapter,
        }
        wanted[cell_types.Role(pool.role)] = {
            kind: value for kind, value in values.items() if value
        }
    return wanted


def _add_rates(
    fields: dict[str, typing.Any], pool: document_module.Pool
) -> None:
    if pool.role == 'prefill':
        fields['prefill_tokens_per_s'] = pool.prefill_tokens_per_s
        fields['kv_bytes_per_token'] = pool.kv_bytes_per_token
        fields['link_bytes_per_s'] = pool.link_bytes_per_s
    if pool.role == 'decode':
        # The document has the rate of a backend server; cells need that of
        # one stream.
        fields['decode_tokens_per_s'] = pool.decode_tokens_per_s / pool.slots
        fields['tokens_per_piece'] = pool.tokens_per_piece


def cell_backend(
    announcement: presence.BackendAnnouncement,
    slots_by_role: dict[str, int],
) -> cell_types.CellBackend:
    """Convert the announcement of a backend server.

    :param slots_by_role: defaults, used if the announcement has no slots.
    """
    role = cell_types.Role(announcement.role)
    return cell_types.CellBackend(
        backend_id=announcement.backend_id,
        incarnation=announcement.incarnation,
        role=role,
        url=announcement.url,
        slots=announcement.slots or slots_by_role.get(role, 1),
        data_centre=announcement.data_centre,
        software_version=announcement.software_version,
    )
