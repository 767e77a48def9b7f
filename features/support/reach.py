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

from bergamotsail import catalogue
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
        body: bytes,
        connect_timeout_s: float,
    ) -> None:
        super().__init__(target, expected, body)
        self._world = world
        self._entry = entry
        self._connect_timeout_s = connect_timeout_s

    async def head(self) -> wire.ReplyHead:
        how = self._world.how_cut(self._entry, self._target)
        if how == HANG or self._target.id in self._world.dark:
            await asyncio.sleep(self._connect_timeout_s)
            raise wire.NotSentError("The connection timed out.")
        if how == RESET:
            raise wire.NotSentError("The connection was refused.")
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
            request.body,
            request.connect_timeout_s,
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


SCENARIOS = {scenario.__name__: scenario for scenario in (served_past_a_cut,)}


def run_scenario(name: str) -> list[str]:
    """Run a scenario in virtual time; return its faults."""
    return ledger.run(SCENARIOS[name]())
