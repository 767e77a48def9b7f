"""Benchmark routing and placement policies in virtual time.

The workloads are seeded, so that a run is reproducible.
"""

import asyncio
import collections
import contextlib
import dataclasses
import json
import multiprocessing
import pathlib
import sys

from absl import app
from absl import flags
from absl import logging
from hdrh import histogram
import looptime

from bergamotsail.bench import _virtual
from bergamotsail.bench import _workloads
from bergamotsail import observe
from bergamotsail import routing
from bergamotsail import targets
from bergamotsail import wire

_QUICK = flags.DEFINE_bool(
    "quick", False, "Run only the steady workloads, for at most 45 s."
)
_JOBS = flags.DEFINE_integer("jobs", 7, "Number of worker processes.")
_SEED = flags.DEFINE_integer("seed", 1, "Seed of workloads and deployments.")
_SECONDS = flags.DEFINE_float("seconds", 75.0, "Virtual seconds of load.")
_PLOT = flags.DEFINE_string("plot", "build/bench.svg", "Path of the SVG plot.")
_EVENTS = flags.DEFINE_list(
    "events", None, "Workload events to run; default: all."
)

_PROFILES = flags.DEFINE_list(
    "profiles", None, "Names of the deployments to run; default: all."
)

WARMUP_FRACTION = 1 / 3
DEADLINE_S = 30.0
BASELINES = ("least_loaded", "hash")


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """A pair of routing and placement settings to compare."""

    name: str
    routing: str
    placement: str


POLICIES = (
    Policy("least_loaded", "least_loaded", "least_recent"),
    Policy("hash", "hash", "least_recent"),
    Policy("ours", "residency", "value"),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Task:
    """One benchmark run."""

    profile: _workloads.DeploymentProfile
    event: str
    policy: Policy
    seconds: float
    seed: int
    stall_weight: float


@dataclasses.dataclass(slots=True)
class Outcomes:
    """Request outcomes after the warm-up.

    Args:
        first_s: seconds to the first token, by member.
        refused: failed requests by error code.
        by_second: seconds to the first token, by second of arrival.
    """

    first_s: dict[str, list[float]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    refused: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    refused_by_member: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    answered: int = 0
    requests: int = 0
    by_second: dict[int, list[float]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )


def percentile(values: list[float], fraction: float) -> float:
    """Return the value at a rank from 0 to 1, or 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


async def _request_completion(
    deployment: _virtual.Deployment,
    arrival: _workloads.Arrival,
    client_s: float,
    prompt_characters: int,
    outcomes: Outcomes | None,
) -> None:
    members = deployment.settings.members
    member = members[arrival.adapter % len(members)]
    daemons = list(deployment.daemon_by_address.values())
    accepting = [d for d in daemons if d.accepting]
    daemon = accepting[int(arrival.at * 1000) % len(accepting)]
    loop = asyncio.get_running_loop()
    started = loop.time()
    first: float | None = None
    name = f"adapter-{arrival.adapter}"
    completion = routing.Completion(
        f"r{arrival.at:.6f}",
        name,
        targets.Prompt(
            f"prompt {arrival.adapter % 7}".ljust(prompt_characters),
            arrival.tokens,
        ),
        DEADLINE_S,
    )
    code = ""
    await asyncio.sleep(client_s)
    try:
        parts = daemon.completions.complete(routing.Caller(member), completion)
        async with contextlib.aclosing(parts):
            async for _ in parts:
                if first is None:
                    first = loop.time() - started + client_s
    except wire.ServingError as error:
        code = error.code
    if outcomes is None:
        return
    outcomes.requests += 1
    if code:
        outcomes.refused[code] += 1
        outcomes.refused_by_member[member] += 1
        return
    outcomes.answered += 1
    outcomes.first_s[member].append(first or 0.0)
    outcomes.by_second[int(arrival.at)].append(first or 0.0)


async def _inject_event(
    deployment: _virtual.Deployment, event: str, seconds: float
) -> None:
    """Inject the fault or change of an event half-way through a run.

    The events "shift" and "flood" are part of the trace instead.
    """
    await asyncio.sleep(seconds / 2)
    engines = list(deployment.engine_by_address.values())
    addresses = list(deployment.daemon_by_address)
    if event == "engine_restart":
        for engine in engines[:2]:
            engine.restart()
    elif event == "failed_loads":
        for engine in engines:
            engine.load_fault = wire.EngineError("The load failed.")
        await asyncio.sleep(3.0)
        for engine in engines:
            engine.load_fault = None
    elif event == "leaving":
        deployment.leaving.add("runner-0")
        deployment.publish()
    elif event == "daemon_lost":
        await deployment.kill(addresses[-1])
    elif event == "daemon_stop":
        await deployment.stop(addresses[-1])


def _budgets(profile: _workloads.DeploymentProfile) -> dict[str, float]:
    """Return the budget of each member, in tokens per second."""
    if profile.budget_factor is None:
        return {}
    tokens_per_s = profile.rate * profile.mean_cost * profile.budget_factor
    return {
        member: weight * tokens_per_s
        for member, weight in profile.weight_by_member.items()
    }


async def _run(task: Task) -> dict[str, object]:
    profile = task.profile
    settings = _virtual.DeploymentSettings(
        profile.members,
        profile.daemons,
        profile.engines,
        profile.adapters,
        profile.load_s,
        profile.engine,
        {
            "routing": task.policy.routing,
            "placement": {
                "policy": task.policy.placement,
                "stall_weight": task.stall_weight,
            },
        },
        task.seed,
        budget_by_member=_budgets(profile),
        slow_factor=profile.slow_factor,
    )
    arrivals = _workloads.trace(profile, task.event, task.seconds, task.seed)
    warmup_end = task.seconds * WARMUP_FRACTION
    outcomes = Outcomes()
    async with _virtual.Deployment(settings) as deployment:
        loop = asyncio.get_running_loop()
        started = loop.time()
        event = asyncio.create_task(
            _inject_event(deployment, task.event, task.seconds)
        )
        request_tasks = []
        initial_counts = None
        for arrival in arrivals:
            await asyncio.sleep(max(0.0, started + arrival.at - loop.time()))
            if initial_counts is None and arrival.at >= warmup_end:
                deployment.reset_metrics()
                initial_counts = _engine_counts(deployment)
            is_counted = arrival.at >= warmup_end
            request_tasks.append(
                asyncio.create_task(
                    _request_completion(
                        deployment,
                        arrival,
                        profile.client_s,
                        profile.prompt_characters,
                        outcomes if is_counted else None,
                    )
                )
            )
        await asyncio.gather(*request_tasks)
        await event
        return _summarize(task, arrivals, deployment, outcomes, initial_counts)


def _engine_counts(
    deployment: _virtual.Deployment,
) -> tuple[int, int, int]:
    """Return the loads, steps and used batch slots of all engines."""
    reports = [e.report() for e in deployment.engine_by_address.values()]
    return (
        sum(e.loads for e in deployment.engine_by_address.values()),
        sum(report.steps for report in reports),
        sum(report.step_slots_used for report in reports),
    )


def _summarize(
    task: Task,
    arrivals: list[_workloads.Arrival],
    deployment: _virtual.Deployment,
    outcomes: Outcomes,
    initial_counts: tuple[int, int, int],
) -> dict[str, object]:
    snapshot = deployment.metrics()
    loads, steps, used = (
        now - before
        for now, before in zip(_engine_counts(deployment), initial_counts)
    )
    profile = task.profile
    slots = profile.engines * profile.engine.adapter_slots
    warmup_end = task.seconds * WARMUP_FRACTION
    bound = _workloads.belady_loads(arrivals, slots, warmup_end)
    stalls = _load_stalls(snapshot)
    first_token_s = [
        value for values in outcomes.first_s.values() for value in values
    ]
    per_mille = 1000 / max(1, outcomes.requests)
    evictions = snapshot.counter_by_name.get("evictions", 0)
    return {
        "requests": outcomes.requests,
        "answered": outcomes.answered,
        "refused": dict(outcomes.refused),
        "refused_by_member": dict(outcomes.refused_by_member),
        "load_stall_ms": stalls,
        "first_token_ms": {
            "p50": round(percentile(first_token_s, 0.5) * 1000, 1),
            "p95": round(percentile(first_token_s, 0.95) * 1000, 1),
            "p99": round(percentile(first_token_s, 0.99) * 1000, 1),
        },
        "first_token_p99_ms_by_member": {
            member: round(percentile(values, 0.99) * 1000, 1)
            for member, values in outcomes.first_s.items()
        },
        "batch_efficiency": round(
            used / max(1, steps * profile.engine.batch_slots), 4
        ),
        "loads_per_1000": round(loads * per_mille, 1),
        "evictions_per_1000": round(evictions * per_mille, 1),
        "belady_loads_per_1000": round(bound * per_mille, 1),
        "loads_to_belady": round(loads / max(1, bound), 3),
        "first_token_mean_ms_by_10_s": _first_token_mean_ms_by_10_s(outcomes),
    }


def _first_token_mean_ms_by_10_s(outcomes: Outcomes) -> dict[str, float]:
    values_by_bucket: dict[int, list[float]] = collections.defaultdict(list)
    for second, values in outcomes.by_second.items():
        values_by_bucket[second // 10 * 10] += values
    return {
        str(start): round(1000 * sum(values) / len(values), 1)
        for start, values in sorted(values_by_bucket.items())
    }


def _load_stalls(snapshot: observe.MetricsSnapshot) -> dict[str, float]:
    """Return load stall statistics over all members and entry classes.

    Times are in milliseconds. Values of 1 us count as no stall.
    """
    total = histogram.HdrHistogram(1, 3_600_000_000, 2)
    for name, encoded in snapshot.histogram_by_name.items():
        if name.startswith("load_stall"):
            total.decode_and_add(encoded)
    count = total.get_total_count()
    stalled = count - total.get_count_at_value(1)
    return {
        "p50": total.get_value_at_percentile(50) / 1000,
        "p95": total.get_value_at_percentile(95) / 1000,
        "p99": total.get_value_at_percentile(99) / 1000,
        "max": total.get_max_value() / 1000,
        "share_stalled": round(stalled / max(1, count), 4),
    }


def run_task(task: Task) -> dict[str, object]:
    """Run one task on a new event loop with virtual time."""
    logging.set_verbosity(logging.FATAL)
    loop = looptime.new_event_loop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(_run(task))
    finally:
        for pending in asyncio.all_tasks(loop):
            pending.cancel()
        loop.close()


def _tasks() -> list[Task]:
    seconds = _SECONDS.value
    events = _EVENTS.value or _workloads.EVENTS
    if _QUICK.value:
        events = ("steady",)
        seconds = min(seconds, 45.0)
    profiles = [
        profile
        for profile in _workloads.PROFILES
        if _PROFILES.value is None or profile.name in _PROFILES.value
    ]
    tasks = [
        Task(
            profile, event, policy, seconds, _SEED.value, profile.stall_weight
        )
        for profile in profiles
        for event in events
        for policy in POLICIES
    ]
    for profile in profiles if not _QUICK.value else ():
        # The steady workload with the complementary stall weight, which is
        # the one of the other deployment.
        other = 1.0 - profile.stall_weight
        ours = Policy("ours_other_weight", "residency", "value")
        if "steady" in events:
            tasks.append(
                Task(profile, "steady", ours, seconds, _SEED.value, other)
            )
    return tasks


def _ratios_to_baseline(by_policy: dict[str, dict]) -> dict[str, float]:
    """Return ratios of our policy to the best baseline and to Belady."""
    ours = by_policy["ours"]
    stalls = [by_policy[b]["load_stall_ms"]["p99"] for b in BASELINES]
    batches = [by_policy[b]["batch_efficiency"] for b in BASELINES]
    return {
        "load_stall_p99_to_best_baseline": round(
            ours["load_stall_ms"]["p99"] / max(0.001, min(stalls)), 3
        ),
        "batch_efficiency_to_best_baseline": round(
            ours["batch_efficiency"] / max(0.0001, max(batches)), 3
        ),
        "loads_to_belady": ours["loads_to_belady"],
    }


def _print_table(by_workload: dict[str, dict[str, dict]]) -> None:
    header = (
        "workload",
        "policy",
        "stall p50",
        "p95",
        "p99",
        "max ms",
        "stalled",
        "batch",
        "first p99",
        "refused",
        "loads/1000",
        "to Belady",
    )
    print("  ".join(header))
    for workload, by_policy in by_workload.items():
        for policy, figures in by_policy.items():
            stall = figures["load_stall_ms"]
            cells = (
                f"{workload:26}",
                f"{policy:18}",
                f"{stall['p50']:8.0f}",
                f"{stall['p95']:8.0f}",
                f"{stall['p99']:8.0f}",
                f"{stall['max']:8.0f}",
                f"{stall['share_stalled']:7.3f}",
                f"{figures['batch_efficiency']:7.4f}",
                f"{figures['first_token_ms']['p99']:8.0f}",
                f"{sum(figures['refused'].values()):5}",
                f"{figures['loads_per_1000']:8.1f}",
                f"{figures['loads_to_belady']:6.2f}",
            )
            print(" ".join(cells))


def _plot(by_workload: dict[str, dict[str, dict]], path: str) -> None:
    # Imported here because it loads slowly and only the plot needs it.
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(2, 1, figsize=(11, 8), sharex=True)
    names = list(by_workload)
    for offset, policy in enumerate(p.name for p in POLICIES):
        positions = [n + offset * 0.27 for n in range(len(names))]
        rows = [by_workload[name][policy] for name in names]
        stalls = [row["load_stall_ms"]["p99"] for row in rows]
        batches = [row["batch_efficiency"] for row in rows]
        axes[0].bar(positions, stalls, 0.25, label=policy)
        axes[1].bar(positions, batches, 0.25, label=policy)
    axes[0].set_ylabel("load stall p99, ms")
    axes[1].set_ylabel("batch efficiency")
    axes[1].set_xticks(range(len(names)), names, rotation=45, ha="right")
    axes[0].legend()
    pathlib.Path(path).parent.mkdir(parents=True, exist_ok=True)
    figure.tight_layout()
    figure.savefig(path)
    print(f"Plotted to {path}.")


def _main(_: list[str]) -> None:
    tasks = _tasks()
    results = []
    with multiprocessing.Pool(_JOBS.value, maxtasksperchild=1) as pool:
        for figures in pool.imap(run_task, tasks):
            results.append(figures)
            print(
                f"Finished {len(results)} of {len(tasks)} runs.",
                file=sys.stderr,
            )
    by_workload: dict[str, dict[str, dict]] = collections.defaultdict(dict)
    for task, figures in zip(tasks, results):
        workload = f"{task.profile.name}/{task.event}"
        by_workload[workload][task.policy.name] = figures
    _print_table(by_workload)
    _plot(by_workload, _PLOT.value)
    ratio = {
        name: _ratios_to_baseline(rows) for name, rows in by_workload.items()
    }
    summary = {"by_workload": by_workload, "ratio": ratio}
    summary["stated"] = "in memory, virtual time, real decision code"
    print(json.dumps(summary))


if __name__ == "__main__":
    app.run(_main)
