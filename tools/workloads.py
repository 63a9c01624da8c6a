"""Deployments to measure: sizes, mixes of requests, and capacity."""

from collections import abc
import dataclasses
import random

import msgspec

from dandeliongw.cell import cell_types
from tools import engine_model


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Kind:
    """One kind of request in a mix.

    :param share: fraction of all requests, between zero and one.
    :param prompt_tokens: least and most tokens of a prompt.
    :param shared_tokens: length of the prefix that an account's prompts
        share.
    :param max_tokens: least and most of a request's ``max_tokens``.
    :param stop_early: least length of an answer, as a fraction of its
        ``max_tokens``.
    """

    priority: str
    share: float
    prompt_tokens: tuple[int, int]
    shared_tokens: int
    max_tokens: tuple[int, int]
    stop_early: float = 0.7


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """One request of a caller.

    :param at: when it arrives, in virtual seconds.
    :param leaves_after_s: when the caller disconnects, after its arrival.
    """

    name: str
    at: float
    account: str
    priority: str
    prompt_tokens: int
    prefix: tuple[str, ...]
    max_tokens: int
    answer_tokens: int
    leaves_after_s: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Deployment:
    """One model service: its engines, entries and mix of requests."""

    name: str
    prefill_engines: int
    decode_engines: int
    entries: int
    accounts: int
    kinds: tuple[Kind, ...]
    speeds: engine_model.EngineSpeeds
    terms: cell_types.CellTerms


SPEEDS = engine_model.EngineSpeeds()
TOKEN_GAP_S = 0.034


def best_batch(speeds: engine_model.EngineSpeeds) -> tuple[int, float]:
    """Return the largest batch within the token gap, and its step time."""
    budget_s = TOKEN_GAP_S - speeds.step_s
    streams = min(speeds.slots, int(budget_s / speeds.step_per_stream_s))
    return streams, speeds.step_s + speeds.step_per_stream_s * streams


FULL_STEP_S = best_batch(SPEEDS)[1]


def make_terms(
    first_token_s: float,
    patient_wait_s: float,
    weights: cell_types.Weights,
) -> cell_types.CellTerms:
    """Return the terms as an operator's document would set them."""
    return cell_types.CellTerms(
        first_token_s=first_token_s,
        token_gap_s=TOKEN_GAP_S,
        timeout_s=60.0,
        weights=weights,
        prefill_tokens_per_s=SPEEDS.prefill_tokens_per_s,
        decode_tokens_per_s=1.0 / FULL_STEP_S,
        kv_bytes_per_token=SPEEDS.kv_bytes_per_token,
        link_bytes_per_s=SPEEDS.link_bytes_per_s,
        slots_by_role={'prefill': 1, 'decode': SPEEDS.slots},
        max_wait_s_by_priority={'urgent': 0.0, 'patient': patient_wait_s},
        rank_by_priority={'urgent': 0, 'patient': 1},
    )


BRAZOS = Deployment(
    name='brazos',
    prefill_engines=2,
    decode_engines=4,
    entries=7,
    accounts=40,
    kinds=(
        Kind(
            priority='urgent',
            share=0.6,
            prompt_tokens=(200, 700),
            shared_tokens=128,
            max_tokens=(60, 160),
        ),
        Kind(
            priority='patient',
            share=0.4,
            prompt_tokens=(1500, 4000),
            shared_tokens=640,
            max_tokens=(150, 350),
        ),
    ),
    speeds=SPEEDS,
    terms=make_terms(
        0.6, 6.0, cell_types.Weights(goodput=2.0, wasted_prefill=1.0)
    ),
)

KHANGAI = Deployment(
    name='khangai',
    prefill_engines=3,
    decode_engines=3,
    entries=9,
    accounts=60,
    kinds=(
        Kind(
            priority='urgent',
            share=0.3,
            prompt_tokens=(800, 2000),
            shared_tokens=512,
            max_tokens=(80, 200),
        ),
        Kind(
            priority='patient',
            share=0.7,
            prompt_tokens=(3000, 7000),
            shared_tokens=1024,
            max_tokens=(150, 400),
        ),
    ),
    speeds=SPEEDS,
    terms=make_terms(
        1.2, 10.0, cell_types.Weights(goodput=1.0, wasted_prefill=3.0)
    ),
)


def lengthen_shared_prefixes(deployment: Deployment) -> Deployment:
    """Return a variant in which prompts share the longest prefix possible.

    The prefixes of all accounts together exceed one prefix cache.
    """
    block = deployment.speeds.block_tokens
    kinds = tuple(
        dataclasses.replace(
            kind, shared_tokens=kind.prompt_tokens[0] // block * block
        )
        for kind in deployment.kinds
    )
    return dataclasses.replace(
        deployment, name=f'{deployment.name}-shared', kinds=kinds
    )


def add_slots(deployment: Deployment) -> Deployment:
    """Return a variant with more slots than the token gap allows."""
    speeds = dataclasses.replace(
        deployment.speeds, slots=32, prefill_tokens_per_s=15_000.0
    )
    terms = msgspec.structs.replace(
        deployment.terms, prefill_tokens_per_s=15_000.0
    )
    return dataclasses.replace(
        deployment, name=f'{deployment.name}-deep', speeds=speeds, terms=terms
    )


VARIANTS_BY_NAME = {
    each.name: each
    for make_variant in (lengthen_shared_prefixes, add_slots)
    for each in (make_variant(BRAZOS), make_variant(KHANGAI))
}
DEPLOYMENTS_BY_NAME = {each.name: each for each in (BRAZOS, KHANGAI)}


def mean_of(bounds: tuple[int, int]) -> float:
    """Return the mean of a uniform choice."""
    return sum(bounds) / 2


def capacity(deployment: Deployment) -> float:
    """Return an upper bound of the requests a second that engines can serve.

    It is the least of the limits of prefill, links and decode slots. It
    assumes that every shared prefix is cached and every slot always in use,
    which no router attains. It doesn't depend on a policy.
    """
    speeds = deployment.speeds
    streams, step_s = best_batch(speeds)
    prefill_s = link_s = slot_s = 0.0
    for kind in deployment.kinds:
        prompt = mean_of(kind.prompt_tokens)
        computed = prompt - kind.shared_tokens
        work_s = computed / speeds.prefill_tokens_per_s
        prefill_s += kind.share * (work_s + speeds.prefill_overhead_s)
        kv_bytes = prompt * speeds.kv_bytes_per_token
        link_s += kind.share * kv_bytes / speeds.link_bytes_per_s
        answer = mean_of(kind.max_tokens) * (1 + kind.stop_early) / 2
        slot_s += kind.share * answer * step_s
    return min(
        deployment.prefill_engines / prefill_s,
        deployment.prefill_engines / link_s,
        deployment.decode_engines * streams / slot_s,
    )


def make_requests(
    deployment: Deployment,
    *,
    load: float,
    duration_s: float,
    seed: int,
    burst: bool = False,
    leaving: float = 0.0,
    flood: float = 0.0,
) -> abc.Iterator[Request]:
    """Yield requests in order of time; deterministic for equal arguments.

    :param load: as a fraction of the capacity.
    :param burst: alternate between 1.6 and 0.4 of the load every 5 s.
    :param leaving: fraction of the callers that disconnect early.
    :param flood: fraction of all requests that come from a single account.
    """
    rng = random.Random(f'{deployment.name}/{seed}')
    rate = capacity(deployment) * load
    at = 0.0
    number = 0
    while True:
        is_peak = int(at / 5.0) % 2 == 0
        swing = (1.6 if is_peak else 0.4) if burst else 1.0
        at += rng.expovariate(rate * swing)
        if at >= duration_s:
            return
        number += 1
        yield _make_request(deployment, rng, number, at, leaving, flood)


def _make_request(
    deployment: Deployment,
    rng: random.Random,
    number: int,
    at: float,
    leaving: float,
    flood: float,
) -> Request:
    weights = [kind.share for kind in deployment.kinds]
    kind = rng.choices(deployment.kinds, weights)[0]
    # Skewed: a few accounts send most of the requests.
    account = int(deployment.accounts * rng.random() ** 2)
    if rng.random() < flood:
        account = 0
    prompt_tokens = rng.randint(*kind.prompt_tokens)
    max_tokens = rng.randint(*kind.max_tokens)
    answer_share = rng.uniform(kind.stop_early, 1.0)
    leaves = rng.uniform(0.0, 5.0) if rng.random() < leaving else None
    blocks = prompt_tokens // deployment.speeds.block_tokens
    shared = kind.shared_tokens // deployment.speeds.block_tokens
    prefix = tuple(
        f'{account}/{kind.priority}/{block}'
        if block < shared
        else f'{number}/{block}'
        for block in range(blocks)
    )
    return Request(
        name=f'r{number}',
        at=at,
        account=f'account-{account}',
        priority=kind.priority,
        prompt_tokens=prompt_tokens,
        prefix=prefix,
        max_tokens=max_tokens,
        answer_tokens=max(1, int(max_tokens * answer_share)),
        leaves_after_s=leaves,
    )
