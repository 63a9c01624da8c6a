"""Measures all policies on the same requests; see docs/POLICY.md.

Prints one line of JSON for each deployment, policy, load and seed. With
``--quick``, it prints one line that compares the current policy with the best
plain router.
"""

from collections import abc
import functools
import json
import math
import typing

import defopt
import msgspec

from dandeliongw.cell import options as options_module
from dandeliongw.cell import policy
from dandeliongw.cell import scheduler
from tools import baselines
from tools import faults
from tools import load
from tools import tally
from tools import workloads

WARM_UP_S = 10.0
#: Arrivals of a quick run, in virtual seconds.
QUICK_S = 60.0
#: Fraction of good calls from which a fault counts as overcome.
RECOVERED_SHARE = 0.9
#: Prefixes of the names of the baselines that the summary uses.
NAMED_BASELINES = ('round-robin', 'least-reported')
#: Time for calls to end after the last arrival, in virtual seconds.
DRAIN_S = 70.0

PolicyFactory = abc.Callable[[], policy.Policy]

#: Limits of waiting prompts with which the plain routers are measured.
WAITING_LIMITS = (2, 3, 8, 16)


def plain_routers(
    deployment: workloads.Deployment,
) -> dict[str, PolicyFactory]:
    """Return the factories of the baselines by name."""
    least_connections = functools.partial(
        baselines.LeastConnections, entries=deployment.entries
    )
    factories_by_name = {
        'round-robin': baselines.RoundRobin,
        'least-reported': baselines.LeastReported,
        'least-connections': least_connections,
    }
    return {
        f'{name}-{limit}': functools.partial(factory, waiting_limit=limit)
        for name, factory in factories_by_name.items()
        for limit in WAITING_LIMITS
    }


FIRST_VERSION = options_module.Options(
    queue=False,
    order=options_module.Order.ARRIVAL,
    foresee=False,
    affinity=False,
    links=False,
    health=False,
    fair=False,
    spare=0.0,
    cap=False,
    weigh=False,
)
#: The options that each version changed; the last version is in use.
STEPS_BY_VERSION: dict[str, dict[str, typing.Any]] = {
    'v1-slots': {},
    'v2-queue': {'queue': True},
    'v3-rank': {'order': options_module.Order.RANK},
    'v4-foresee': {'foresee': True},
    'v5-affinity': {'affinity': True},
    'v6-links': {'links': True},
    'v8-health': {'health': True},
    'v9-fair': {'fair': True},
    'v10-spare': {'spare': 0.1},
    'v11-cap': {'cap': True},
    'v12-weights': {'weigh': True},
}


def versions() -> dict[str, options_module.Options]:
    """Return the options of every version, the oldest first."""
    options = FIRST_VERSION
    options_by_name = {}
    for name, step in STEPS_BY_VERSION.items():
        options = msgspec.structs.replace(options, **step)
        options_by_name[name] = options
    return options_by_name


CURRENT = list(STEPS_BY_VERSION)[-1]


def all_policies(
    deployment: workloads.Deployment,
) -> dict[str, PolicyFactory]:
    """Return the factories of the baselines and of all versions, by name."""
    ours = {
        name: functools.partial(scheduler.Scheduler, options=options)
        for name, options in versions().items()
    }
    return plain_routers(deployment) | ours


def measure(
    deployment: workloads.Deployment,
    factory: PolicyFactory,
    *,
    at_load: float,
    duration_s: float,
    seed: int = 1,
    inject_fault: abc.Callable[[load.Run], None] | None = None,
    **mix: typing.Any,
) -> tally.Tally:
    """Return the figures of one run.

    :param inject_fault: schedules faults on the run's clock.
    :param mix: further arguments of ``workloads.make_requests``.
    """
    requests = workloads.make_requests(
        deployment, load=at_load, duration_s=duration_s, seed=seed, **mix
    )
    run = load.Run(
        deployment=deployment,
        policy_factory=factory,
        requests=requests,
        seed=seed,
    )
    run.tally.since = WARM_UP_S
    run.tally.until = duration_s
    if inject_fault is not None:
        inject_fault(run)
    return run.run(duration_s + DRAIN_S)


def summarize(duration_s: float, seed: int) -> dict[str, typing.Any]:
    """Compare the current policy with the best plain router.

    The best plain router is the best of round robin and least reported
    load, each with every limit of waiting prompts, at 1.2 of capacity. The
    ratios are those of the worse deployment. Double and lost answers are
    also counted in runs with a killed engine and with a lost owner.
    """
    summary: dict[str, typing.Any] = {
        'goodput_ratio': math.inf,
        'wasted_prefill_ratio': 0.0,
        'double_answers': 0,
        'lost_answers': 0,
        'recovery_s': 0,
    }
    options = {'duration_s': duration_s, 'seed': seed}
    for deployment in workloads.DEPLOYMENTS_BY_NAME.values():
        factories_by_name = all_policies(deployment)
        current = factories_by_name[CURRENT]
        ours = measure(deployment, current, at_load=1.2, **options)
        plain = [
            measure(deployment, factory, at_load=1.2, **options)
            for name, factory in factories_by_name.items()
            if name.startswith(NAMED_BASELINES)
        ]
        best = max(plain, key=lambda result: result.goodput)
        ratio = ours.goodput / best.goodput
        summary['goodput_ratio'] = min(summary['goodput_ratio'], ratio)
        if best.wasted_share > 0.0:
            wasted = ours.wasted_share / best.wasted_share
            summary['wasted_prefill_ratio'] = max(
                summary['wasted_prefill_ratio'], wasted
            )
        faulty_runs = [
            measure(
                deployment, current, at_load=0.7, inject_fault=each, **options
            )
            for each in (faults.kill_decode, faults.lose_owner)
        ]
        recovery_s = faulty_runs[0].seconds_below(
            RECOVERED_SHARE, faults.BEGINS_AT, faults.ENDS_AT
        )
        summary['recovery_s'] = max(summary['recovery_s'], recovery_s)
        for result in (ours, *faulty_runs):
            summary['double_answers'] += result.counts['double']
            summary['lost_answers'] += result.counts['lost']
    return summary


def main(
    *,
    quick: bool = False,
    policies: list[str] | None = None,
    loads: list[float] | None = None,
    duration_s: float = 60.0,
    seeds: list[int] | None = None,
    mixes: list[str] | None = None,
    fault: str = '',
    leaving: float = 0.0,
    flood: float = 0.0,
    burst: bool = False,
) -> None:
    """Measure policies and print JSON lines.

    :param quick: print only the summary; takes less than 50 s.
    :param policies: names of policies; all by default.
    :param loads: as fractions of the capacity.
    :param duration_s: virtual seconds of arrivals.
    :param mixes: brazos, khangai, brazos-shared, khangai-shared,
        brazos-deep, khangai-deep.
    :param fault: a name in tools.faults; none if empty.
    :param leaving: fraction of the callers that disconnect early.
    :param flood: fraction of all calls that come from a single account.
    :param burst: alternate between 1.6 and 0.4 of the load.
    :param seeds: of the arrivals; 1, 2 and 3 by default.
    """
    deployments = workloads.DEPLOYMENTS_BY_NAME | workloads.VARIANTS_BY_NAME
    if quick:
        print(json.dumps(summarize(QUICK_S, 1)))
        return
    names = mixes or list(workloads.DEPLOYMENTS_BY_NAME)
    for deployment in (deployments[name] for name in names):
        factories_by_name = all_policies(deployment)
        for name in policies or factories_by_name:
            for at_load in loads or (0.5, 0.75, 1.0, 1.2, 1.5):
                for seed in seeds or (1, 2, 3):
                    result = measure(
                        deployment,
                        factories_by_name[name],
                        at_load=at_load,
                        duration_s=duration_s,
                        seed=seed,
                        inject_fault=faults.FAULTS_BY_NAME.get(fault),
                        leaving=leaving,
                        flood=flood,
                        burst=burst,
                    )
                    line = {
                        'deployment': deployment.name,
                        'policy': name,
                        'load': at_load,
                        'seed': seed,
                        'fault': fault,
                        'capacity': workloads.capacity(deployment),
                    }
                    print(json.dumps(line | result.figures()), flush=True)


if __name__ == '__main__':
    defopt.run(main, cli_options='all')
