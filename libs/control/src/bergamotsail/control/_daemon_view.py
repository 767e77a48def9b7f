"""A daemon's copy of the catalogue, kept current by all replicas.

Changes come with the leader's replies to heartbeats. While these fail, or are
too slow, any replica that hears the leader can serve the changes: followers
apply the same log, and have little else to do.
"""

import asyncio
import collections.abc
import contextlib

from absl import logging

from bergamotsail import catalogue
from bergamotsail.control import _messages
from bergamotsail import observe
from bergamotsail import wire

STATE_TIMEOUT_S = 30.0
# A fetch of the state is aborted after this long without a piece.
STATE_SILENCE_S = 1.0
# Callbacks that wait for an index. Later ones are dropped, since the earliest
# indexes are reached first.
MAX_WAITING = 100
# Age of the view at which replicas are asked. It is longer than the usual
# interval between heartbeats.
ASK_AFTER_S = 0.8
ASK_INTERVAL_S = 0.4
ASK_TIMEOUT_S = 0.4
# Replicas asked in one round, until one hears the leader.
MAX_ASKED = 3
# Upper bound for such calls per second of all daemons together. A follower
# needs about 0.4 ms for one.
MAX_ASKS_PER_S = 400.0


class DaemonView:
    """The copy of the catalogue's view; an async context manager.

    The view only moves forward, whichever replicas its changes come from.

    Args:
        replicas: returns the addresses of replicas, the presumed leader last.
        daemons: returns the number of daemons that may ask.
        offset: where this daemon begins in the list of replicas.
    """

    def __init__(
        self,
        transport: wire.PeerTransport,
        replicas: collections.abc.Callable[[], collections.abc.Sequence[str]],
        daemons: collections.abc.Callable[[], int],
        offset: int = 0,
        clock: wire.Clock = wire.LoopClock(),
    ) -> None:
        self.view = catalogue.View()
        self._transport = transport
        self._replicas = replicas
        self._daemons = daemons
        self._next_replica = offset
        self._clock = clock
        self._confirmed_at = float("-inf")
        self._fetching: asyncio.Task | None = None
        # Callbacks to run once the view has reached an index.
        self._waiting: list[tuple[int, collections.abc.Callable[[], None]]] = (
            []
        )
        self._background = wire.BackgroundTasks()

    async def __aenter__(self) -> "DaemonView":
        self._background.start(self._follow)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._background.stop()
        if self._fetching is not None:
            self._fetching.cancel()
            await asyncio.gather(self._fetching, return_exceptions=True)

    def age_s(self) -> float:
        """Return how long ago the view was known to be current."""
        return self._clock.now() - self._confirmed_at

    def confirm(self, at: float) -> None:
        """Record that the view has all changes that were made until then."""
        self._confirmed_at = max(self._confirmed_at, at)

    def apply(
        self,
        effects: collections.abc.Iterable[catalogue.Effect],
        index: int,
    ) -> None:
        """Apply the changes up to an index that the view doesn't have yet.

        Args:
            effects: all changes after an index that the view has reached.
        """
        reached = self.view.index
        for effect in effects:
            if effect.index > reached:
                self.view.apply(effect)
        self.view.index = max(self.view.index, index)
        self._run_waiting()

    def fetch(
        self,
        address: str,
        index: int,
        on_reached: collections.abc.Callable[[], None],
    ) -> None:
        """Fetch the changes from a replica, unless a fetch is running.

        Args:
            on_reached: called once the view has reached *index*.
        """
        if len(self._waiting) < MAX_WAITING:
            self._waiting.append((index, on_reached))
        if self._fetching is None or self._fetching.done():
            self._fetching = asyncio.create_task(self._fetch(address))

    def _run_waiting(self) -> None:
        ready = [item for item in self._waiting if item[0] <= self.view.index]
        self._waiting = [
            item for item in self._waiting if item[0] > self.view.index
        ]
        for _, on_reached in ready:
            on_reached()

    async def _fetch(self, address: str) -> None:
        try:
            await self._fetch_state(address)
        except wire.ServingError as error:
            observe.log_event(
                "view", "fetch_failed", replica=address, code=error.code
            )
        except Exception:
            logging.exception("view: Unexpected fetch error.")

    async def _fetch_state(self, address: str) -> None:
        after = self.view.index
        new_view = catalogue.View()
        changes: list[catalogue.Effect] = []
        index, whole = 0, True
        pieces = self._transport.stream(
            address,
            _messages.STATE,
            _messages.StateRequest(after),
            STATE_TIMEOUT_S,
        )
        assembler = catalogue.EffectAssembler()
        monitored_stream = wire.monitored_stream(
            pieces, _make_stall_error, STATE_SILENCE_S
        )
        async with contextlib.aclosing(monitored_stream):
            async for piece in monitored_stream:
                index, whole = piece.index, piece.whole
                joined = [assembler.join(effect) for effect in piece.effects]
                ready = [effect for effect in joined if effect is not None]
                if not whole:
                    changes.extend(ready)
                    continue
                for effect in ready:
                    new_view.apply(effect)
        if index < self.view.index:
            return
        if whole:
            new_view.index = index
            self.view = new_view
        self.apply(changes, index)
        logging.info("view: State fetched at index %d.", index)

    # Changes from any replica.

    async def _follow(self) -> None:
        """Ask replicas for changes while the view is not confirmed."""
        while True:
            per_daemon_s = self._daemons() / MAX_ASKS_PER_S
            await self._clock.sleep(max(ASK_INTERVAL_S, per_daemon_s))
            if self.age_s() >= ASK_AFTER_S:
                await self._ask_replicas()

    async def _ask_replicas(self) -> None:
        """Ask one replica after the other until one hears the leader."""
        addresses = self._replicas()
        for _ in range(min(MAX_ASKED, len(addresses))):
            self._next_replica += 1
            address = addresses[self._next_replica % len(addresses)]
            try:
                if await self._ask(address):
                    return
            except wire.ServingError as error:
                observe.log_event(
                    "view",
                    "not_answered",
                    replica=address,
                    code=error.code,
                    age_s=round(self.age_s(), 3),
                )

    async def _ask(self, address: str) -> bool:
        """Ask a replica for changes; False if it doesn't hear the leader."""
        sent_at, index = self._clock.now(), self.view.index
        reply = await self._transport.call(
            address,
            _messages.CHANGES,
            _messages.ChangesRequest(index),
            ASK_TIMEOUT_S,
        )
        observe.log_event(
            "view",
            "changes",
            replica=address,
            after=index,
            index=reply.index,
            behind=reply.behind,
            silent_s=reply.silent_s,
            age_s=round(self.age_s(), 3),
        )
        as_of = sent_at - (reply.silent_s or 0.0)

        def confirm() -> None:
            if reply.silent_s is not None:
                self.confirm(as_of)

        if reply.behind:
            self.fetch(address, reply.index, confirm)
        else:
            self.apply(reply.effects, reply.index)
            confirm()
        return reply.silent_s is not None and reply.silent_s < ASK_AFTER_S


def _make_stall_error() -> wire.ServingError:
    return wire.PeerLostError(
        "Timed out waiting for a piece of the state. Fetch it again."
    )
