"""The users' deployments: sizes, mixes of requests, and capacity."""

from collections import abc
import dataclasses
import random

import msgspec

from dandeliongw.cell import vocabulary
from tools import engine_model


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Kind:
    """One kind of request in a mix.

    :param part: of all requests, between zero and one.
    :param shared_tokens: leading tokens that an account's prompts share.
    :param stop_early: an answer has between this part and all of its
        ``max_tokens``.
    """

    priority: str
    part: float
    prompt_tokens: tuple[int, int]
    shared_tokens: int
    max_tokens: tuple[int, int]
    stop_early: float = 0.7


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """What one caller wants."""

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
    """One user's model service."""

    name: str
    prefill_engines: int
    decode_engines: int
    entries: int
    accounts: int
    kinds: tuple[Kind, ...]
    speeds: engine_model.EngineSpeeds
    terms: vocabulary.CellTerms


SPEEDS = engine_model.EngineSpeeds()
TOKEN_GAP_S = 0.034


def best_batch(speeds: engine_model.EngineSpeeds) -> tuple[int, float]:
    """Return the largest batch within the token gap, and its step."""
    room_s = TOKEN_GAP_S - speeds.step_s
    streams = min(speeds.slots, int(room_s / speeds.step_per_stream_s))
    return streams, speeds.step_s + speeds.step_per_stream_s * streams


FULL_STEP_S = best_batch(SPEEDS)[1]


def make_terms(
    first_token_s: float,
    patient_wait_s: float,
    weights: vocabulary.Weights,
) -> vocabulary.CellTerms:
    """Return the terms that an operator's document would give."""
    return vocabulary.CellTerms(
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
            part=0.6,
            prompt_tokens=(200, 700),
            shared_tokens=128,
            max_tokens=(60, 160),
        ),
        Kind(
            priority='patient',
            part=0.4,
            prompt_tokens=(1500, 4000),
            shared_tokens=640,
            max_tokens=(150, 350),
        ),
    ),
    speeds=SPEEDS,
    terms=make_terms(
        0.6, 6.0, vocabulary.Weights(goodput=2.0, wasted_prefill=1.0)
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
            part=0.3,
            prompt_tokens=(800, 2000),
            shared_tokens=512,
            max_tokens=(80, 200),
        ),
        Kind(
            priority='patient',
            part=0.7,
            prompt_tokens=(3000, 7000),
            shared_tokens=1024,
            max_tokens=(150, 400),
        ),
    ),
    speeds=SPEEDS,
    terms=make_terms(
        1.2, 10.0, vocabulary.Weights(goodput=1.0, wasted_prefill=3.0)
    ),
)


def share_more(deployment: Deployment) -> Deployment:
    """Return a mix whose prompts begin alike for all they can.

    Accounts have more such beginnings than one prefix cache holds.
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


def deepen(deployment: Deployment) -> Deployment:
    """Return engines with more slots than the token gap bears."""
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
    for change in (share_more, deepen)
    for each in (change(BRAZOS), change(KHANGAI))
}
DEPLOYMENTS_BY_NAME = {each.name: each for each in (BRAZOS, KHANGAI)}


def middle(bounds: tuple[int, int]) -> float:
    """Return the mean of a uniform choice."""
    return sum(bounds) / 2


def capacity(deployment: Deployment) -> float:
    """Return the requests a second that the engines could serve at best.

    The least of what prefill, links and decode slots carry. Every shared
    prefix counts as cached and every slot as always in use, which no
    router attains; no policy enters into it.
    """
    speeds = deployment.speeds
    streams, step_s = best_batch(speeds)
    prefill_s = link_s = slot_s = 0.0
    for kind in deployment.kinds:
        prompt = middle(kind.prompt_tokens)
        computed = prompt - kind.shared_tokens
        work_s = computed / speeds.prefill_tokens_per_s
        prefill_s += kind.part * (work_s + speeds.prefill_overhead_s)
        kv_bytes = prompt * speeds.kv_bytes_per_token
        link_s += kind.part * kv_bytes / speeds.link_bytes_per_s
        answer = middle(kind.max_tokens) * (1 + kind.stop_early) / 2
        slot_s += kind.part * answer * step_s
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
    """Yield the same requests for the same arguments, in order of time.

    :param load: in parts of the capacity.
    :param burst: swing between 0.4 and 1.6 of the load every 5 s.
    :param leaving: part of the callers that leave early.
    :param flood: part of all requests that come from a single account.
    """
    draw = random.Random(f'{deployment.name}/{seed}')
    rate = capacity(deployment) * load
    at = 0.0
    number = 0
    while True:
        busy = int(at / 5.0) % 2 == 0
        swing = (1.6 if busy else 0.4) if burst else 1.0
        at += draw.expovariate(rate * swing)
        if at >= duration_s:
            return
        number += 1
        yield _make_request(deployment, draw, number, at, leaving, flood)


def _make_request(
    deployment: Deployment,
    draw: random.Random,
    number: int,
    at: float,
    leaving: float,
    flood: float,
) -> Request:
    weights = [kind.part for kind in deployment.kinds]
    kind = draw.choices(deployment.kinds, weights)[0]
    # A few accounts are busy, most are not.
    account = int(deployment.accounts * draw.random() ** 2)
    if draw.random() < flood:
        account = 0
    prompt_tokens = draw.randint(*kind.prompt_tokens)
    max_tokens = draw.randint(*kind.max_tokens)
    early = draw.uniform(kind.stop_early, 1.0)
    leaves = draw.uniform(0.0, 5.0) if draw.random() < leaving else None
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
        answer_tokens=max(1, int(max_tokens * early)),
        leaves_after_s=leaves,
    )
