"""Targets that limit the requests a second of all entries, in virtual time.

Some say in each answer how many requests a second they take. Entries,
sessions and replicas are real.
"""

import asyncio
import collections.abc
import contextlib
import typing

from bergamotsail import control
from bergamotsail.control import _target_rates
from bergamotsail import routing
from bergamotsail.routing import _forward
from bergamotsail import targets
from bergamotsail import wire
from features.support import ledger
from features.support import software

LIMIT = "limit"
# The bound holds from this long after a target first named its limit.
CONTACT_S = 4.0
WINDOW_S = 4.0
# An entry counts from this long after it passed on such an answer.
TOLD_S = 0.5
OVERAGE = 1.5
SLACK = 5
GAP_S = 0.025
LIMITED_S = 14.0
# Least part of a limit that is used while there is more demand than that.
LEAST_SHARE = 0.5
# Largest part of the requests that may be refused if others could run them.
MAX_UNSERVED = 0.02
# A request is refused at once if that takes no longer.
AT_ONCE_S = 0.1
# Requests of an entry that may wait for permits at a time.
MAX_WAITING = _forward.MAX_PERMIT_WAITERS


class Arrival(typing.NamedTuple):
    """A request that reached a target."""

    at: float
    entry: int
    target: str
    limit: float | None


class Target(software.Target):
    """A target that may limit its requests."""

    def __init__(self, number: int, world: "World", version: str) -> None:
        super().__init__(number, world, version)
        self.limit: str | None = None

    @property
    def limit_per_s(self) -> float | None:
        """The limit that counts, None without a valid one."""
        parsed = targets.parse_rate([] if self.limit is None else [self.limit])
        return parsed.value


class Exchange(software.Exchange):
    """An exchange whose answer may name a limit."""

    entry = 0

    async def head(self) -> wire.ReplyHead:
        target, now = self._target, asyncio.get_running_loop().time()
        if target.up and target.id == self._expected:
            self._world.requests.append(
                Arrival(now, self.entry, target.id, target.limit_per_s)
            )
        head = await super().head()
        if target.limit is None:
            return head
        if target.limit_per_s is not None:
            now = asyncio.get_running_loop().time()
            self._world.told_at.setdefault((self.entry, target.id), now)
        named = (LIMIT, target.limit)
        return wire.ReplyHead(head.status, (*head.headers, named))


class Http(software.Http):
    """A client of one entry, which its exchanges know."""

    exchange_type = Exchange

    def open(self, request, target, headers) -> Exchange:
        exchange = super().open(request, target, headers)
        exchange.entry = self._entry
        return exchange


class Dialect(software.Dialect):
    """Reads the limits."""

    def read(self, request, head) -> routing.ParsedHead:
        absent = head.status == 421
        return routing.ParsedHead(
            True,
            absent or head.status == 503,
            absent,
            True,
            limit=targets.parse_rate(head.all(LIMIT)),
        )


class World(software.World):
    """Entries and targets some of which name limits."""

    def __init__(
        self, engines: bool = True, entries: int = 3, count: int = 8
    ) -> None:
        super().__init__(("v1",) * count, engines, entries, holds=True)
        self.targets = [Target(n, self, "v1") for n in range(count)]
        self.dialect = Dialect()
        self.event_s = 0.01
        self.requests: list[Arrival] = []
        self.told_at: dict[tuple[int, str], float] = {}
        self.named_at = float("inf")
        self.outcomes: list[str] = []
        self.refused_after_s: list[float] = []

    def make_http(self, entry: int) -> Http:
        return Http(self, entry)

    def name_limit(self, limit: str | None, *numbers: int) -> None:
        """Have targets name a limit from now on, or none."""
        self.named_at = asyncio.get_running_loop().time()
        for number in numbers:
            self.targets[number].limit = limit

    async def press(self, for_s: float, gap_s: float = GAP_S) -> None:
        """Send requests to random entries at a fixed rate."""
        loop = asyncio.get_running_loop()
        until = loop.time() + for_s

        async def ask() -> None:
            self._number += 1
            caller = software.Caller(self, f"c{self._number}")
            entry = self.rng.choice(self.entries)
            with contextlib.suppress(wire.ServingError):
                await caller.ask(entry)
            self.outcomes += caller.outcomes or ["failed"]
            is_refused = "complete" not in caller.outcomes
            if is_refused and caller.refused_after_s is not None:
                self.refused_after_s.append(caller.refused_after_s)

        async with asyncio.TaskGroup() as asking:
            while loop.time() < until:
                asking.create_task(ask())
                await asyncio.sleep(gap_s)

    def over_limit(self) -> list[str]:
        """Return a fault for each target that got more than it allows."""
        faults = []
        for target in self.targets:
            counted = [
                a
                for a in self.requests
                if a.target == target.id
                and a.limit is not None
                and a.at >= self.named_at + CONTACT_S
                and a.at
                >= self.told_at.get((a.entry, a.target), a.at) + TOLD_S
            ]
            for first in counted:
                got = sum(
                    first.at <= a.at < first.at + WINDOW_S for a in counted
                )
                allowed = OVERAGE * WINDOW_S * first.limit + SLACK
                if got > allowed:
                    faults.append(
                        f"{target.id} got {got} in {WINDOW_S} s, {allowed:g} "
                        "are allowed"
                    )
                    break
        return faults

    def unused(self, since: float, until: float) -> list[str]:
        """Return a fault for each target that got too little of its limit."""
        faults = []
        for target in self.targets:
            if target.limit_per_s is None:
                continue
            got = sum(
                a.target == target.id and since <= a.at < until
                for a in self.requests
            )
            wanted = LEAST_SHARE * target.limit_per_s * (until - since)
            if got < int(wanted):
                faults.append(f"{target.id} got {got}, not {wanted:g}")
        return faults

    def unserved(self, most: float = MAX_UNSERVED) -> list[str]:
        """Return a fault if too many requests were not served."""
        missed = len(self.outcomes) - self.outcomes.count("complete")
        if missed <= most * len(self.outcomes):
            return []
        return [f"{missed} of {len(self.outcomes)} not served"]


async def _press_limited(world: World, limit: str, *numbers: int) -> list[str]:
    """Press while targets name a limit; check bound, use and service."""
    loop = asyncio.get_running_loop()
    await world.press(2.0)
    world.name_limit(limit, *numbers)
    await world.press(CONTACT_S)
    since = loop.time()
    await world.press(LIMITED_S)
    return world.over_limit() + world.unused(since, loop.time())


async def one_engine() -> list[str]:
    """One of eight engines names 2 requests a second."""
    async with World() as world:
        return await _press_limited(world, "2", 0) + world.unserved()


async def a_small_limit() -> list[str]:
    """One engine names 0.25 requests a second."""
    async with World() as world:
        return await _press_limited(world, "0.25", 0) + world.unserved()


async def all_engines() -> list[str]:
    """Each of eight engines names 1; the rest is refused."""
    async with World() as world:
        return await _press_limited(world, "1", *range(8))


async def many_entries() -> list[str]:
    """Twenty entries, an engine that names 2."""
    async with World(entries=20) as world:
        return await _press_limited(world, "2", 0) + world.unserved()


async def a_plain_service() -> list[str]:
    """One of eight plain targets names 2, another one 0.25."""
    async with World(engines=False) as world:
        await world.press(0.5)
        world.targets[1].limit = "0.25"
        return await _press_limited(world, "2", 0) + world.unserved()


async def all_plain_services() -> list[str]:
    """Each of three plain targets names 1, before twelve entries."""
    async with World(False, entries=12, count=3) as world:
        return await _press_limited(world, "1", 0, 1, 2)


async def few_requests_for_limited_services() -> list[str]:
    """Each request is served while there are fewer than the limits allow."""
    async with World(False, count=3) as world:
        world.name_limit("1", 0, 1, 2)
        await world.press(30.0, 1.5)
        return world.over_limit() + world.unserved(0.0)


async def leader_is_lost() -> list[str]:
    """The leader is lost while engines and plain targets name limits."""
    faults = []
    for engines in (True, False):
        async with World(engines) as world:
            await world.press(2.0)
            world.name_limit("2", 0, 1)
            await world.press(CONTACT_S)
            await world.lose_leader()
            await world.press(LIMITED_S)
            faults += world.over_limit() + world.unserved(0.1)
    return faults


async def no_leader_for_long() -> list[str]:
    """No leader is elected while engines and plain targets name limits."""
    faults = []
    for engines in (True, False):
        async with World(engines, entries=6) as world:
            await world.press(2.0)
            world.name_limit("2", 0, 1)
            await world.press(CONTACT_S)
            await world.lose_leader()
            await world.lose_leader()
            await world.press(LIMITED_S)
            faults += world.over_limit()
    return faults


async def entries_start_again() -> list[str]:
    """Two of three entries are killed and start while limits stand."""
    faults = []
    for engines in (True, False):
        async with World(engines) as world:
            await world.press(2.0)
            world.name_limit("2", 0)
            await world.press(CONTACT_S)
            for number in (0, 1):
                await world.kill_entry(number)
                await world.start_entry(number, 2)
            await world.press(LIMITED_S)
            faults += world.over_limit()
    return faults


async def _many_daemons(engines: bool, limit: str, for_s: float) -> list[str]:
    """Press while two targets of eight name a limit, before 340 entries."""
    async with World(engines, entries=340) as world:
        await world.press(1.0)
        world.name_limit(limit, 0, 1)
        await world.press(CONTACT_S + for_s)
        return world.over_limit() + world.unserved()


async def a_tenth_a_second_at_engines_of_many() -> list[str]:
    """340 entries, engines that name 0.1 requests a second."""
    return await _many_daemons(True, "0.1", 12.0)


async def a_tenth_a_second_at_services_of_many() -> list[str]:
    """340 entries, plain targets that name 0.1 requests a second."""
    return await _many_daemons(False, "0.1", 12.0)


async def cut_off_entry_keeps_to_limits() -> list[str]:
    """An entry that reaches no daemon sends at its turns, and is served."""
    faults = []
    for engines in (True, False):
        async with World(engines, entries=6) as world:
            await world.press(2.0)
            world.name_limit("1", 0, 1)
            await world.press(CONTACT_S)
            world.network.isolate(world.entries[0].address)
            await world.press(LIMITED_S)
            faults += world.over_limit()
            if not engines:
                faults += world.unserved()
    return faults


async def entry_without_targets_keeps_to_limits() -> list[str]:
    """An entry that reaches no target leaves the limits to the others."""
    faults = []
    for engines in (True, False):
        async with World(engines) as world:
            world.cut_entries = {0}
            await world.press(2.0)
            world.name_limit("1", 0)
            await world.press(CONTACT_S + LIMITED_S)
            faults += world.over_limit() + world.unserved()
    return faults


async def refused_at_once() -> list[str]:
    """What no target may take is refused at once, but for a few that wait."""
    async with World(False, count=2) as world:
        world.name_limit("0.5", 0, 1)
        await world.press(3.0)
        world.outcomes.clear()
        world.refused_after_s.clear()
        await world.press(10.0)
        faults = world.over_limit()
        refused = world.refused_after_s
        if len(refused) + world.outcomes.count("complete") < 10.0 / GAP_S:
            faults.append(f"only {len(refused)} of the others were refused")
        late = [s for s in refused if s > AT_ONCE_S]
        most = 3 * MAX_WAITING * 10.0 / _forward.PERMIT_WAIT_S
        if len(late) > most or max(late, default=0.0) > (
            _forward.PERMIT_WAIT_S + AT_ONCE_S
        ):
            faults.append(f"{len(late)} refused late, after {max(late):.2f} s")
        return faults


async def limit_falls_and_ends() -> list[str]:
    """A limit falls from 4 to 1; then the target takes work as before."""
    faults = []
    for engines in (True, False):
        async with World(engines) as world:
            await _press_limited(world, "4", 0)
            faults += await _press_limited(world, "1", 0)
            world.name_limit(None, 0)
            await world.press(6.0)
            loop = asyncio.get_running_loop()
            since = loop.time()
            await world.press(6.0)
            got = sum(
                a.target == world.targets[0].id and a.at >= since
                for a in world.requests
            )
            # An eighth of 40 requests a second is its part.
            if got < 0.5 * 6.0 / GAP_S / 8:
                faults.append(f"{got} requests after the limit had ended")
    return faults


async def wrong_values() -> list[str]:
    """Limits that are no numbers have no effect."""
    faults = []
    for text in ("", "-1", "nan", "inf", "1e400", "1e3", "2;", "0x1", "\xb2"):
        parsed = targets.parse_rate([text])
        if parsed.value is not None or parsed.invalid_value != text:
            faults.append(f"{text!r} is taken as {parsed.value}")
    if targets.parse_rate(["3", "1.5", "x"]).value != 1.5:
        faults.append("The lowest of several does not count.")
    async with World() as world:
        await world.press(2.0)
        world.name_limit("nan", 0)
        await world.press(6.0)
        got = sum(a.target == world.targets[0].id for a in world.requests)
        if got < 0.5 * 8.0 / GAP_S / 8:
            faults.append(f"{got} requests at a target without a limit")
    return faults


SCENARIOS: dict[str, collections.abc.Callable] = {
    scenario.__name__: scenario
    for scenario in (
        one_engine,
        a_small_limit,
        all_engines,
        many_entries,
        a_plain_service,
        all_plain_services,
        few_requests_for_limited_services,
        leader_is_lost,
        no_leader_for_long,
        entries_start_again,
        a_tenth_a_second_at_engines_of_many,
        a_tenth_a_second_at_services_of_many,
        cut_off_entry_keeps_to_limits,
        entry_without_targets_keeps_to_limits,
        refused_at_once,
        limit_falls_and_ends,
        wrong_values,
    )
}


def run_scenario(name: str) -> list[str]:
    """Run a scenario in virtual time."""
    return ledger.run(SCENARIOS[name]())


# Each mutant disables a guard: its name, the scenario that must fail, and the
# arguments of mock.patch.object.
MUTANTS = (
    (
        "place requests without regard to limits",
        "one_engine",
        (control.TargetRates, "has_token", lambda *_: True),
    ),
    (
        "send to limited plain targets without a permit",
        "a_plain_service",
        (_target_rates.DaemonRates, "may_send", lambda *_: True),
    ),
    (
        "give each daemon the whole limit while the leader is lost",
        "no_leader_for_long",
        (_target_rates.DaemonRates, "_has_turn", lambda *_: True),
    ),
    (
        "wait for no permit",
        "few_requests_for_limited_services",
        (_forward, "PERMIT_WAIT_S", 0.0),
    ),
    (
        "have any number of requests wait for permits",
        "refused_at_once",
        (_forward, "MAX_PERMIT_WAITERS", 10_000),
    ),
    (
        "ignore what daemons report of limits",
        "limit_falls_and_ends",
        (control.TargetRates, "_note", lambda *_: False),
    ),
)


def run_mutant(number: int) -> list[str]:
    """Run the scenario of a mutant with its guard disabled."""
    _, scenario, guard = MUTANTS[number]
    with ledger.disabled_guard(guard):
        return run_scenario(scenario)
