"""A simulation of one member's budget over a fleet of daemons.

Callers send requests of two sizes to random daemons: model requests, which
ask the leader for a placement, and plain calls, which do not. The simulation
counts what is admitted in the worst window, and which requests are refused
although the member is below its limit.
"""

import bisect
import collections.abc
import dataclasses
import heapq
import itertools
import random
from unittest import mock

from bergamotsail import catalogue
from bergamotsail import limits
from bergamotsail import wire

WINDOW_S = 8.0
OVERAGE = 0.1
SLACK = 17_000
MODEL_COST = 2_400
PLAIN_COST = 200
# A third of the requests are plain calls.
PLAIN_PART = 0.33
# Part of the limit that a member usually uses.
USUAL_PART = 0.56
# Time after which a request without a leader is given up, and the pause
# between its questions.
PATIENCE_S = 1.0
ASK_AGAIN_S = 0.1
MAX_HEARTBEATS_PER_S = 150.0
HEARTBEAT_S = (0.3, 0.63)

Interval = tuple[float, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Day:
    """What happens in one simulated day.

    Args:
        per_s: the member's limit, which equals its burst.
        hot: how many times its usual the member sends, and when.
        no_leader: when there is no leader; each end starts a new term.
        cut: the part of the daemons that are cut off, and when.
        lowered: at which time the limit falls to a quarter.
        plain_part: the part of requests that are plain calls.
    """

    daemons: int
    per_s: float
    hot: tuple[float, Interval] | None = None
    no_leader: tuple[Interval, ...] = ()
    cut: tuple[float, Interval] | None = None
    lowered: float | None = None
    plain_part: float = PLAIN_PART
    length_s: float = 40.0

    def budget(self, now: float) -> catalogue.Budget:
        """Return the budget in force."""
        per_s = self.per_s
        if self.lowered is not None and now >= self.lowered:
            per_s /= 4
        return catalogue.Budget(per_s, per_s)

    def rate(self, now: float) -> float:
        """Return how many times its usual the member sends."""
        if self.hot is None:
            return 1.0
        times, (start, end) = self.hot
        return times if start <= now < end else 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """The outcome of a day.

    Args:
        worst: units admitted in the worst window, by the bound.
        refused: part of the requests below the limit that were refused.
        asked: questions to the leader that it refused.
    """

    worst: float
    refused: float
    asked: int


class _Daemon:
    def __init__(self, number: int, seed: int) -> None:
        self.address = f"10.0.0.{number}"
        self.is_cut = False
        self.heard_at = 0.0
        rng = random.Random(f"{seed}.{number}")
        self.budgets = limits.DaemonBudgets(rng, SETTINGS)


SETTINGS = limits.BudgetSettings(slack=SLACK)
MEMBER = "ma"


class Fleet:
    """Plays a day; decides as the leader and the daemons would."""

    def __init__(self, day: Day, seed: int) -> None:
        self.day = day
        self.rng = random.Random(seed)
        self.now = 0.0
        self.daemons = [_Daemon(n, seed) for n in range(day.daemons)]
        self.ledger = limits.BudgetLedger(SETTINGS, 0.0)
        self.term_since = 0.0
        self.admitted: list[tuple[float, float]] = []
        self.refused: set[int] = set()
        self.asked = 0
        # The daemon that each request is sent to.
        self.placed: list[int] = []

    def play(self) -> Result:
        """Play the day and return its outcome."""
        arrivals = list(_arrivals(self.day, self.rng))
        number = itertools.count()
        events = [(at, next(number), index, at) for index, at in arrivals]
        costs = [self._cost() for _ in arrivals]
        daemons = range(len(self.daemons))
        self.placed = [self.rng.choice(daemons) for _ in arrivals]
        every_s = min(
            max(HEARTBEAT_S[0], self.day.daemons / MAX_HEARTBEATS_PER_S),
            HEARTBEAT_S[1],
        )
        for daemon in self.daemons:
            at = self.rng.random() * every_s
            events.append((at, next(number), daemon, every_s))
        heapq.heapify(events)
        while events:
            self.now, _, what, detail = heapq.heappop(events)
            if isinstance(what, _Daemon):
                self._heartbeat(what)
                if self.now < self.day.length_s:
                    at = self.now + detail
                    heapq.heappush(events, (at, next(number), what, detail))
                continue
            if self._serve(what, costs[what], detail):
                again = (self.now + ASK_AGAIN_S, next(number), what, detail)
                heapq.heappush(events, again)
        return self._result(arrivals, costs)

    def _cost(self) -> float:
        is_plain = self.rng.random() < self.day.plain_part
        return PLAIN_COST if is_plain else MODEL_COST

    def _has_leader(self, daemon: _Daemon) -> bool:
        if any(start <= self.now < end for start, end in self.day.no_leader):
            return False
        ended = [end for _, end in self.day.no_leader if end <= self.now]
        if ended and max(ended) > self.term_since:
            self.term_since = max(ended)
            self.new_term()
        if self.day.cut is not None:
            part, (start, end) = self.day.cut
            position = self.daemons.index(daemon)
            if position < part * len(self.daemons) and start <= self.now < end:
                return False
        return True

    def new_term(self) -> None:
        """Start the term of a new leader."""
        self.ledger = limits.BudgetLedger(SETTINGS, self.now)

    def _budget_of(self, _: str) -> catalogue.Budget:
        return self.day.budget(self.now)

    def _heartbeat(self, daemon: _Daemon) -> None:
        if not self._has_leader(daemon):
            return
        daemon.heard_at = self.now
        self.ledger.record(
            daemon.budgets.take_report(),
            daemon.address,
            self._budget_of,
            self.now,
        )
        shares = self.ledger.admit_shares(self._budget_of, self.now)
        daemon.budgets.take_shares(shares)

    def _serve(self, index: int, cost: float, arrived_at: float) -> bool:
        """Decide about a request; return whether to ask again later."""
        daemon = self.daemons[self.placed[index]]
        budget = self.day.budget(self.now)
        contact = limits.LeaderContact(
            self.now - daemon.heard_at, len(self.daemons)
        )
        is_alone = contact.silent_s > SETTINGS.alone_after_s
        try:
            if self.now == arrived_at or is_alone:
                daemon.budgets.admit(MEMBER, budget, cost, contact, self.now)
        except wire.ServingError:
            self.refused.add(index)
            return False
        if cost == PLAIN_COST or is_alone:
            daemon.budgets.spend(MEMBER, cost)
        elif not self._has_leader(daemon):
            return self.now - arrived_at < PATIENCE_S
        elif self.ledger.take(MEMBER, budget, cost, self.now) > 0:
            self.refused.add(index)
            self.asked += 1
            return False
        self.admitted.append((self.now, cost))
        return False

    def _result(
        self, arrivals: list[tuple[int, float]], costs: list[float]
    ) -> Result:
        owed = _owed(self.day, arrivals, costs)
        refused = len(owed & self.refused) / max(len(owed), 1)
        return Result(
            _worst_window(self.day, self.admitted), refused, self.asked
        )


def _arrivals(
    day: Day, rng: random.Random
) -> collections.abc.Iterator[tuple[int, float]]:
    """Yield the number and time of each request."""
    mean = PLAIN_COST * day.plain_part + MODEL_COST * (1 - day.plain_part)
    usual_per_s = USUAL_PART * day.per_s / mean
    now, number = 0.0, 0
    while True:
        now += rng.expovariate(usual_per_s * day.rate(now))
        if now >= day.length_s:
            return
        yield number, now
        number += 1


def _owed(
    day: Day, arrivals: list[tuple[int, float]], costs: list[float]
) -> set[int]:
    """Return the requests that one exact bucket would admit."""
    level, at = day.per_s, 0.0
    owed = set()
    for index, now in arrivals:
        budget = day.budget(now)
        level = min(level + budget.per_s * (now - at), budget.burst)
        at = now
        if level >= costs[index]:
            level -= costs[index]
            owed.add(index)
    return owed


def _worst_window(day: Day, admitted: list[tuple[float, float]]) -> float:
    """Return what was admitted in the worst window, by its bound."""
    admitted = sorted(admitted)
    times = [at for at, _ in admitted]
    sums = [0.0, *itertools.accumulate(cost for _, cost in admitted)]
    worst = 0.0
    for first, start in enumerate(times):
        last = bisect.bisect_right(times, start + WINDOW_S)
        # The limit at the start of the window binds.
        limit = day.budget(start)
        bound = limit.per_s * WINDOW_S + limit.burst
        bound = bound * (1 + OVERAGE) + SLACK
        worst = max(worst, (sums[last] - sums[first]) / bound)
    return worst


HOT = (7.5, (10.0, 25.0))
TWO_LEADERS_LOST = ((14.0, 15.5), (17.0, 18.5))
# What is refused below the limit on a day without faults, at most.
MAX_REFUSED = 1 / 200
SEEDS = range(4)
DAY_BY_NAME: dict[str, collections.abc.Callable[[int, float], Day]] = {
    "calm": Day,
    "hot": lambda n, per_s: Day(n, per_s, HOT),
    "hot_and_two_leaders_lost": lambda n, per_s: Day(
        n, per_s, HOT, TWO_LEADERS_LOST
    ),
    "hot_from_the_loss_of_a_leader": lambda n, per_s: Day(
        n, per_s, (7.5, (14.0, 25.0)), ((14.0, 16.0),)
    ),
    "hot_and_a_sixth_cut_off": lambda n, per_s: Day(
        n, per_s, HOT, cut=(0.17, (13.0, 18.5))
    ),
    "hot_and_half_cut_off": lambda n, per_s: Day(
        n, per_s, HOT, cut=(0.5, (13.0, 20.0))
    ),
    "limit_lowered_below_demand": lambda n, per_s: Day(
        n, per_s, (3.0, (0.0, 40.0)), lowered=20.0
    ),
    "hot_with_plain_calls": lambda n, per_s: Day(
        n, per_s, HOT, plain_part=1.0
    ),
}


def play(name: str, daemons: int, per_s: float) -> list[str]:
    """Play a day with several seeds; return the broken guarantees."""
    faults = []
    for seed in SEEDS:
        result = Fleet(DAY_BY_NAME[name](daemons, per_s), seed).play()
        if result.worst > 1.0:
            faults.append(f"budget: seed {seed} exceeds the limit: {result}")
        if name == "calm" and result.refused >= MAX_REFUSED:
            faults.append(f"budget: seed {seed} refuses too much: {result}")
    return faults


@dataclasses.dataclass(frozen=True, slots=True)
class Mutant:
    """A guard that is replaced, and the day that must detect it."""

    owner: type
    guard: str
    replacement: collections.abc.Callable[..., object]
    day: str


MUTANTS = (
    Mutant(limits.BudgetLedger, "take", lambda *_: 0.0, "hot"),
    Mutant(
        limits.BudgetLedger,
        "record",
        lambda *_: None,
        "hot_with_plain_calls",
    ),
    Mutant(
        limits.BudgetLedger,
        "_part_alone",
        lambda *_: 0.0,
        "hot_and_half_cut_off",
    ),
    Mutant(
        limits.DaemonBudgets,
        "_take_own_part",
        lambda *_: None,
        "hot_and_half_cut_off",
    ),
    Mutant(
        limits.DaemonBudgets,
        "take_shares",
        lambda *_: None,
        "hot_with_plain_calls",
    ),
)


def undetected_mutants() -> list[str]:
    """Return the guards whose replacement breaks no guarantee."""
    undetected = []
    for mutant in MUTANTS:
        with mock.patch.object(mutant.owner, mutant.guard, mutant.replacement):
            if not play(mutant.day, 59, 250_000):
                undetected.append(mutant.guard)
    return undetected


def refused_when_calm(daemons: int, per_s: float) -> list[str]:
    """Return a fault if a member below its limit is refused too often."""
    results = [Fleet(Day(daemons, per_s), seed).play() for seed in range(10)]
    refused = sum(result.refused for result in results) / len(results)
    if refused < MAX_REFUSED:
        return []
    return [f"budget: {refused:.4f} of the requests below are refused"]
