"""Entries that lost their links to the targets, in virtual time.

Callers, replicas and the other entries still reach them. Replicas, sessions
and forwarders are real; targets are fakes that record which entry's
connection a request came over.
"""

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses

from hypothesis import strategies

from bergamotsail import catalogue
from bergamotsail import routing
from bergamotsail import wire
from features.support import fatal_world
from features.support import ledger

# The time within which a cut must be known, and the least share of the
# requests at cut entries that must then be served, of that at the others.
CONTACT_S = 3.0
LEAST_RATIO = 2 / 3
# After the links are back, requests must go directly again within this time.
BACK_S = 3.0
GAP_S = 0.03
HANG = "hang"
RESET = "reset"


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """A request that was sent, and how it ended.

    Args:
        entry: number of the entry that took it.
    """

    at: float
    entry: int
    body: bytes
    outcome: str
    took_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a target over a connection of an entry."""

    at: float
    entry: int
    body: bytes
    target: str


class Exchange(fatal_world.Exchange):
    """An exchange over a link that may be cut."""

    def __init__(
        self,
        world: "World",
        entry: int,
        target: fatal_world.Target,
        expected: str,
        request: wire.HttpRequest,
    ) -> None:
        super().__init__(target, expected, request.body)
        self.gate = request.gate
        self._world = world
        self._entry = entry
        self._request = request

    async def head(self) -> wire.ReplyHead:
        how = self._world.how_cut(self._entry, self._target)
        if how == HANG or self._target.id in self._world.dark:
            await asyncio.sleep(self._request.connect_timeout_s)
            raise wire.NotSentError("The connection timed out.")
        if how == RESET:
            raise wire.NotSentError("The connection was refused.")
        if not self._target.up or self._target.id != self._expected:
            return await super().head()
        self.connect()
        self._world.reached.append(
            Arrival(
                asyncio.get_running_loop().time(),
                self._entry,
                self._body,
                self._target.id,
            )
        )
        return await super().head()


class Http(fatal_world.Http):
    """A client of one entry, whose links may be cut."""

    def open(self, request, target, headers) -> Exchange:
        address = request.url.removeprefix("http://").strip("/")
        found = next(t for t in self._world.targets if t.address == address)
        return Exchange(
            self._world,
            self._entry,
            found,
            dict(headers)["expect"],
            request,
        )


class World(fatal_world.World):
    """Entries and targets with links that can be cut."""

    def __init__(
        self,
        entries: int = 9,
        count: int = 6,
        seed: int = 1,
        attempts: int = 2,
        kind: catalogue.RouteKind = catalogue.RouteKind.IDEMPOTENT,
    ) -> None:
        super().__init__(entries, count, seed, attempts)
        self.how_by_link: dict[tuple[int, int], str] = {}
        self.dark: set[str] = set()
        self.reached: list[Arrival] = []
        self.sent: list[Sent] = []
        self._kind = kind

    async def __aenter__(self) -> "World":
        await super().__aenter__()
        table = self.entries[0].session.view.routes.table
        route = dataclasses.replace(table.routes[0], kind=self._kind)
        table = catalogue.RouteTable(2, (route,), table.pools)
        await fatal_world.growth._replace_table(self, table)
        await asyncio.sleep(1.0)
        return self

    def make_http(self, entry: int) -> Http:
        return Http(self, entry)

    def how_cut(self, entry: int, target: fatal_world.Target) -> str | None:
        """Return how a link is cut, None if it isn't."""
        return self.how_by_link.get((entry, target.number))

    def cut(
        self,
        entries: collections.abc.Iterable[int],
        how: str = RESET,
        targets: collections.abc.Iterable[int] | None = None,
    ) -> None:
        """Cut the links of entries to targets, or to all of them."""
        numbers = [t.number for t in self.targets]
        chosen = numbers if targets is None else list(targets)
        for entry in entries:
            for number in chosen:
                self.how_by_link[(entry, number)] = how

    def heal(self) -> None:
        """Restore all links."""
        self.how_by_link.clear()

    async def _ask_once(self, entry: int) -> None:
        loop = asyncio.get_running_loop()
        at, body = loop.time(), b"b%d" % len(self.sent)
        self.sent.append(Sent(at, entry, body, "", 0.0))
        place = len(self.sent) - 1
        outcome = await self.ask(body, entry)
        self.sent[place] = Sent(at, entry, body, outcome, loop.time() - at)

    async def send_requests(self, for_s: float, gap_s: float = GAP_S) -> None:
        """Send requests to the entries in turn, and wait for their ends."""
        loop = asyncio.get_running_loop()
        until = loop.time() + for_s
        async with asyncio.TaskGroup() as asking:
            while loop.time() < until:
                entry = len(self.sent) % len(self.entries)
                asking.create_task(self._ask_once(entry))
                await asyncio.sleep(gap_s)

    # Checks.

    def served_share(
        self, entries: collections.abc.Container[int], since: float
    ) -> float:
        """Return the share of the requests at some entries that were served.

        Args:
            since: only requests sent from then on count.
        """
        outcomes = [
            sent.outcome == "served"
            for sent in self.sent
            if sent.entry in entries and sent.at >= since
        ]
        return sum(outcomes) / max(len(outcomes), 1)

    def recover_faults(
        self, cut: collections.abc.Collection[int], since: float
    ) -> list[str]:
        """Compare the cut entries with the others."""
        others = set(range(len(self.entries))) - set(cut)
        cut_share = self.served_share(cut, since)
        other_share = self.served_share(others, since)
        if cut_share < LEAST_RATIO * other_share or other_share < 0.95:
            codes = collections.Counter(
                sent.outcome
                for sent in self.sent
                if sent.entry in cut and sent.at >= since
            )
            return [
                f"cut entries served {cut_share:.2f} {dict(codes)}, the"
                f" others {other_share:.2f}"
            ]
        return []

    def repeat_faults(self) -> list[str]:
        """Return requests that reached a target twice."""
        counts = collections.Counter(a.body for a in self.reached)
        twice = [body for body, count in counts.items() if count > 1]
        return [f"{len(twice)} requests ran twice"] if twice else []

    def relayed(self, since: float) -> int:
        """Return how many requests arrived over another entry's connection.

        Args:
            since: only requests sent from then on count.
        """
        entry_by_body = {
            sent.body: sent.entry for sent in self.sent if sent.at >= since
        }
        return sum(
            arrival.entry != entry_by_body[arrival.body]
            for arrival in self.reached
            if arrival.body in entry_by_body
        )

    def unserved(self, since: float, allowed: int = 0) -> list[str]:
        """Return the codes of requests that were not served, if too many."""
        codes = collections.Counter(
            sent.outcome
            for sent in self.sent
            if sent.at >= since and sent.outcome != "served"
        )
        return [f"not served: {dict(codes)}"] * (codes.total() > allowed)


@contextlib.asynccontextmanager
async def _cut_world(
    cut: collections.abc.Collection[int], how: str, **kwargs
) -> collections.abc.AsyncIterator[tuple[World, float]]:
    """A world whose cut began CONTACT_S ago under load."""
    async with World(**kwargs) as world:
        await world.send_requests(2.0)
        world.cut(cut, how)
        began_at = asyncio.get_running_loop().time()
        await world.send_requests(CONTACT_S)
        yield world, began_at + CONTACT_S


SIX_OF_NINE = (0, 1, 3, 4, 6, 7)
ONE_DATACENTRE = (0, 3, 6)


async def refused(cut: collections.abc.Collection[int]) -> list[str]:
    """Connections of cut entries are refused."""
    async with _cut_world(cut, RESET) as (world, since):
        await world.send_requests(6.0)
        return world.recover_faults(cut, since)


async def hanging(cut: collections.abc.Collection[int]) -> list[str]:
    """Connections of cut entries hang."""
    async with _cut_world(cut, HANG) as (world, since):
        await world.send_requests(6.0)
        return world.recover_faults(cut, since)


async def run_once(cut: collections.abc.Collection[int]) -> list[str]:
    """Requests that may run once are served, and run once."""
    kind = catalogue.RouteKind.ONCE
    async with _cut_world(cut, HANG, kind=kind, attempts=1) as (world, since):
        await world.send_requests(6.0)
        return world.recover_faults(cut, since) + world.repeat_faults()


async def served_past_a_cut() -> list[str]:
    """Most or all entries of a data centre have no path to any target."""
    return [
        f"{scenario.__name__} {len(cut)}: {fault}"
        for scenario in (refused, hanging, run_once)
        for cut in (SIX_OF_NINE, ONE_DATACENTRE)
        for fault in await scenario(cut)
    ]


async def goes_directly_again() -> list[str]:
    """Requests go directly again soon after the links are back."""
    faults = []
    for how in (RESET, HANG):
        async with _cut_world(SIX_OF_NINE, how) as (world, _):
            world.heal()
            await world.send_requests(BACK_S)
            since = asyncio.get_running_loop().time()
            await world.send_requests(5.0)
            count = world.relayed(since)
            faults += [f"{how}: {count} relayed after it"] * (count > 0)
            faults += world.unserved(since)
    return faults


async def lost_for_everybody() -> list[str]:
    """Targets that nobody reaches are no cut: others get the requests."""
    async with World() as world:
        await world.send_requests(2.0)
        for target in world.targets[:2]:
            world.dark.add(target.id)
        since = asyncio.get_running_loop().time()
        await world.send_requests(6.0)
        return world.unserved(since)


async def silent_for_a_second() -> list[str]:
    """A target that is silent for a second is used again, and directly."""
    async with World() as world:
        await world.send_requests(2.0)
        target = world.targets[0].id
        world.dark.add(target)
        since = asyncio.get_running_loop().time()
        await world.send_requests(1.0)
        world.dark.clear()
        await world.send_requests(1.0)
        settled_at = asyncio.get_running_loop().time()
        await world.send_requests(3.0)
        faults = world.unserved(since)
        used = [
            a
            for a in world.reached
            if a.target == target and a.at >= settled_at
        ]
        if not used:
            faults.append("the target got no requests again")
        count = world.relayed(settled_at)
        return faults + [f"{count} relayed after it"] * (count > 0)


async def some_links() -> list[str]:
    """An entry that lost half of the targets serves all requests."""
    async with World() as world:
        await world.send_requests(2.0)
        world.cut(SIX_OF_NINE, HANG, targets=(0, 1, 2))
        since = asyncio.get_running_loop().time()
        await world.send_requests(8.0)
        return world.unserved(since)


async def all_entries_cut() -> list[str]:
    """A request that no entry can send is refused soon, as not run."""
    everyone = range(9)
    async with _cut_world(everyone, RESET) as (world, since):
        await world.send_requests(4.0)
        late = [s for s in world.sent if s.at >= since and s.took_s > 0.3]
        faults = [f"{len(late)} were refused late"] * bool(late)
        codes = {s.outcome for s in world.sent if s.at >= since}
        return faults + [f"codes {codes}"] * (codes != {"overloaded"})


async def caller_leaves() -> list[str]:
    """The target's connection is closed when a relayed caller leaves."""
    async with _cut_world(SIX_OF_NINE, RESET) as (world, _):
        body = b"leaves"
        asking = asyncio.create_task(world.ask(body, 0))
        await asyncio.sleep(fatal_world.RUN_S / 2)
        arrived = [a for a in world.reached if a.body == body]
        if len(arrived) != 1:
            return [f"the request arrived {len(arrived)} times"]
        asking.cancel()
        await asyncio.gather(asking, return_exceptions=True)
        await asyncio.sleep(0.05)
        relaying = [e.number for e in world.entries if e.relay.active]
        return [f"entries {relaying} still relay it"] * bool(relaying)


async def neighbour_stops() -> list[str]:
    """Neighbours that stop take no more calls, and finish those they have."""
    async with _cut_world(ONE_DATACENTRE, RESET) as (world, since):
        asking = asyncio.create_task(world.send_requests(5.0))
        await asyncio.sleep(1.0)
        for entry in world.entries[1:3]:
            entry.relay._accepts = lambda: False
        stopped_at = asyncio.get_running_loop().time()
        await asking
        late = [
            a
            for a in world.reached
            if a.entry in (1, 2)
            and a.at > stopped_at + fatal_world.RUN_S
            and int(a.body[1:]) % 9 in ONE_DATACENTRE
        ]
        faults = [f"{len(late)} relayed after it stopped"] * bool(late)
        return faults + world.unserved(since)


async def load_of_neighbours() -> list[str]:
    """No neighbour relays for all entries of a data centre."""
    async with _cut_world(ONE_DATACENTRE, RESET) as (world, since):
        await world.send_requests(10.0)
        counts = collections.Counter(
            a.entry
            for a in world.reached
            if a.at >= since and int(a.body[1:]) % 9 in ONE_DATACENTRE
        )
        most, total = max(counts.values()), counts.total()
        if most > 0.75 * total:
            return [f"one neighbour relayed {most} of {total}"]
        return []


async def sends_that_never_left() -> list[str]:
    """Connections that fail use up no budget of resends."""
    async with World(entries=3) as world:
        for entry in world.entries:
            entry.forwarder._budgets = routing.ResendBudgets(
                0.0, 0.0, lambda: 3
            )
        await world.send_requests(1.0)
        world.dark.add(world.targets[0].id)
        since = asyncio.get_running_loop().time()
        await world.send_requests(3.0, 0.2)
        return world.unserved(since)


Step = tuple[float, str, int, int]
# Pause, fault, entry and target of each step.
HISTORIES = strategies.lists(
    strategies.tuples(
        strategies.floats(0.05, 1.5),
        strategies.sampled_from((HANG, RESET, "heal", "dark", "crash")),
        strategies.integers(0, 8),
        strategies.integers(0, 5),
    ),
    min_size=1,
    max_size=8,
)


async def _history(steps: list[Step]) -> list[str]:
    kind = catalogue.RouteKind.ONCE
    async with World(kind=kind, attempts=1, seed=len(steps)) as world:
        asking = asyncio.create_task(world.send_requests(10.0))
        for pause_s, fault, entry, target in steps:
            await asyncio.sleep(pause_s)
            if fault == "heal":
                world.heal()
                world.dark.clear()
            elif fault == "dark":
                world.dark.add(world.targets[target].id)
            elif fault == "crash":
                world.targets[target].crash()
            else:
                world.cut(range(entry + 1), fault)
        await asking
        arrived = collections.Counter(a.body for a in world.reached)
        served = [s for s in world.sent if s.outcome == "served"]
        refused = [s for s in world.sent if s.outcome == "overloaded"]
        faults = world.repeat_faults()
        if any(arrived[sent.body] != 1 for sent in served):
            faults.append("a served request did not run once")
        if any(arrived[sent.body] for sent in refused):
            faults.append("a request refused as not run has run")
        return faults


def history_runs_nothing_twice(steps: list[Step]) -> None:
    """A request runs at most once, and one that is refused never."""
    faults = ledger.run(_history(steps))
    assert not faults, f"{faults} after {steps}"


SCENARIOS = {
    scenario.__name__: scenario
    for scenario in (
        served_past_a_cut,
        goes_directly_again,
        lost_for_everybody,
        silent_for_a_second,
        some_links,
        all_entries_cut,
        caller_leaves,
        neighbour_stops,
        load_of_neighbours,
        sends_that_never_left,
    )
}


def run_scenario(name: str) -> list[str]:
    """Run a scenario in virtual time; return its faults."""
    return ledger.run(SCENARIOS[name]())
