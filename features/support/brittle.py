"""Targets that fall over when they must reject too much, in virtual time.

Each says so in all its answers. Later it lets fewer requests wait; one that
rejects more than it bears within a second falls over and is back after some
seconds. Entries, sessions and replicas are real.
"""

import asyncio
import collections
import collections.abc

from bergamotsail import routing
from bergamotsail import wire
from features.support import fatal_world
from features.support import ledger

BRITTLE = "brittle"
# From this long after the announcement on, fewer requests may wait.
CONTACT_S = 3.0
BEARS_PER_S = 8
SLOTS = 2
QUEUE = 6
WINDOW_S = 1.0
# Requirement: targets fall over at most 2 times plus a tenth of their number.
ALLOWED_FALLS = 2
USUAL_GAP_S = 0.05
PRESS_GAP_S = 0.006
PRESS_S = 6.0
# How often a caller that is refused repeats at once.
REPEATS = 4


class Target(fatal_world.Target):
    """A target with few slots that falls over when it rejects too much."""

    def __init__(self, number: int, world: "World") -> None:
        super().__init__(number, world)
        self.running = 0
        self.rejected_at: collections.deque[float] = collections.deque()

    def admit(self) -> bool:
        """Admit a request, or reject it and maybe fall over."""
        now = asyncio.get_running_loop().time()
        if self.running < SLOTS + self._world.queue(now):
            self.running += 1
            return True
        self.rejected_at.append(now)
        while self.rejected_at[0] <= now - WINDOW_S:
            self.rejected_at.popleft()
        if self._world.is_brittle and len(self.rejected_at) > BEARS_PER_S:
            self.rejected_at.clear()
            self._world.falls += 1
            self.crash()
        return False


class Exchange(fatal_world.Exchange):
    """An exchange with a target that may reject the request."""

    def __init__(
        self, world: "World", target: Target, expected: str, body: bytes
    ) -> None:
        super().__init__(target, expected, body)
        self._world = world

    async def head(self) -> wire.ReplyHead:
        target = self._target
        if not target.up or target.id != self._expected:
            return await super().head()
        self.connect()
        headers = ()
        if self._world.is_brittle:
            headers = ((BRITTLE, str(BEARS_PER_S)),)
        if not target.admit():
            if not target.up:
                raise wire.PeerLostError("The target fell over.")
            return wire.ReplyHead(503, headers)
        try:
            head = await super().head()
        finally:
            target.running -= 1
        return wire.ReplyHead(head.status, headers)


class Http(fatal_world.Http):
    """A client for targets that may reject requests."""

    def exchange(self, target, expected: str, body: bytes) -> Exchange:
        return Exchange(self._world, target, expected, body)


class Dialect(fatal_world.Dialect):
    """Reads how many rejections a target bears."""

    def read(self, request, head) -> routing.ParsedHead:
        absent = head.status == 421
        bears = head.get(BRITTLE)
        return routing.ParsedHead(
            True,
            absent or head.status == 503,
            absent,
            True,
            bears_rejections=None if bears is None else int(bears),
        )


class World(fatal_world.World):
    """Nine entries and three targets with few slots."""

    def __init__(self, entries: int = 9, count: int = 3) -> None:
        super().__init__(entries, 0, attempts=3)
        self.targets = [Target(number, self) for number in range(count)]
        self.dialect = Dialect()
        self.is_brittle = False
        self.falls = 0
        self._brittle_since = float("inf")

    def make_http(self, entry: int) -> Http:
        return Http(self, entry)

    def announce(self) -> None:
        """Have all targets say that they are brittle from now on."""
        self.is_brittle = True
        self._brittle_since = asyncio.get_running_loop().time()

    def queue(self, now: float) -> int:
        """Return how many requests may wait at a target."""
        return 0 if now >= self._brittle_since + CONTACT_S else QUEUE

    async def press(
        self, for_s: float, gap_s: float, repeats: int = 0
    ) -> list[str]:
        """Send requests at a fixed rate; each refused one again at once."""
        loop = asyncio.get_running_loop()
        until = loop.time() + for_s
        outcomes: list[str] = []

        async def ask(number: int) -> None:
            for _ in range(repeats + 1):
                outcome = await self.ask(b"x", number)
                outcomes.append(outcome)
                if outcome == "served":
                    return

        async with asyncio.TaskGroup() as asking:
            number = 0
            while loop.time() < until:
                asking.create_task(ask(number))
                number += 1
                await asyncio.sleep(gap_s)
        return outcomes

    def fall_faults(self) -> list[str]:
        """Return a fault if targets fell over too often."""
        allowed = ALLOWED_FALLS + len(self.targets) // 10
        return [f"targets fell {self.falls} times"] * (self.falls > allowed)


async def pressed_while_brittle(repeats: int = 0) -> list[str]:
    """Callers want five times what brittle targets can do."""
    async with World() as world:
        await world.press(1.0, USUAL_GAP_S)
        world.announce()
        await world.press(CONTACT_S, USUAL_GAP_S)
        outcomes = await world.press(PRESS_S, PRESS_GAP_S, repeats)
        faults = world.fall_faults()
        # Three targets with two slots each and 0.2 s for a request.
        possible = len(world.targets) * SLOTS * PRESS_S / fatal_world.RUN_S
        served = outcomes.count("served")
        if served < 0.5 * possible:
            faults.append(f"{served} of {possible:.0f} possible were served")
        return faults


async def repeated_while_brittle() -> list[str]:
    """Callers that are refused repeat at once, several times."""
    return await pressed_while_brittle(REPEATS)


async def usual_while_brittle() -> list[str]:
    """Usual traffic is served as before by brittle targets."""
    async with World() as world:
        await world.press(1.0, USUAL_GAP_S)
        world.announce()
        await world.press(CONTACT_S, USUAL_GAP_S)
        outcomes = await world.press(8.0, USUAL_GAP_S)
        missed = len(outcomes) - outcomes.count("served")
        faults = world.fall_faults()
        if missed > 0.02 * len(outcomes):
            faults.append(f"{missed} of {len(outcomes)} not served")
        return faults


async def pressed_again_when_sound() -> list[str]:
    """Targets that no longer say so get their requests without pauses."""
    async with World() as world:
        world.announce()
        await world.press(CONTACT_S + 3.0, USUAL_GAP_S)
        world.is_brittle = False
        world._brittle_since = float("inf")
        await world.press(2.0, USUAL_GAP_S)
        outcomes = await world.press(5.0, PRESS_GAP_S)
        possible = len(world.targets) * SLOTS * 5.0 / fatal_world.RUN_S
        served = outcomes.count("served")
        if served < 0.8 * possible:
            return [f"{served} of {possible:.0f} possible were served"]
        return []


SCENARIOS: dict[str, collections.abc.Callable] = {
    scenario.__name__: scenario
    for scenario in (
        pressed_while_brittle,
        repeated_while_brittle,
        usual_while_brittle,
        pressed_again_when_sound,
    )
}


def run_scenario(name: str) -> list[str]:
    """Run a scenario in virtual time; return its faults."""
    return ledger.run(SCENARIOS[name]())
