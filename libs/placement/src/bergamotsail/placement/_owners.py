"""The owners of all engines that this daemon owns."""

import asyncio
import collections.abc
import contextlib

from absl import logging

from bergamotsail import catalogue
from bergamotsail import control
from bergamotsail import observe
from bergamotsail.placement import _engine_owner
from bergamotsail.placement import _jobs
from bergamotsail import targets
from bergamotsail import wire

MakeEngine = collections.abc.Callable[[str], targets.Engine]
RELEASE_RETRY_S = 0.2


class Owners:
    """Starts and stops engine owners as the ownership changes.

    It is an async context manager.

    Args:
        make_engine: returns a client of the engine at an address.
    """

    def __init__(
        self,
        session: control.Session,
        make_engine: MakeEngine,
        settings: _jobs.PlacementSettings,
        metrics: observe.Metrics,
        clock: wire.Clock = wire.LoopClock(),
        steps: wire.FaultInjector = wire.NoFaultInjector(),
    ) -> None:
        self.by_target: dict[str, _engine_owner.EngineOwner] = {}
        self._session = session
        self._make_engine = make_engine
        self._settings = settings
        self._metrics = metrics
        self._clock = clock
        self._steps = steps
        self._tasks: set[asyncio.Task] = set()
        self._releasing: dict[str, asyncio.Task] = {}

    async def __aenter__(self) -> "Owners":
        return self

    async def __aexit__(self, *_: object) -> None:
        for owner in list(self.by_target.values()):
            await owner.__aexit__(None, None, None)
        self.by_target.clear()
        pending = [*self._tasks, *self._releasing.values()]
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)

    def serve(self, server: wire.PeerServer) -> None:
        """Register the handlers of the calls from entries."""
        server.serve(_jobs.RUN, self.run)
        server.serve(_jobs.CANCEL, self.on_cancel)

    def statuses(self) -> tuple[control.TargetStatus, ...]:
        """Return the status of each owned target."""
        return tuple(owner.status() for owner in self.by_target.values())

    def active(self) -> int:
        """Return the number of runs in progress on all owned targets."""
        return sum(owner.active for owner in self.by_target.values())

    async def run(
        self, request: _jobs.RunRequest
    ) -> collections.abc.AsyncIterator[targets.Chunk]:
        """Run a request on an owned engine; it is never forwarded."""
        chunks = self._owner(request.target).run(request)
        try:
            async for chunk in chunks:
                yield chunk
        finally:
            await chunks.aclose()

    async def on_cancel(self, request: _jobs.CancelRequest) -> _jobs.Done:
        """Cancel a run on an owned engine."""
        await self._owner(request.target).cancel(request.stream_id)
        return _jobs.Done()

    def _owner(self, target: str) -> _engine_owner.EngineOwner:
        owner = self.by_target.get(target)
        if owner is None:
            raise wire.NotOwnerError(
                f"This instance does not own {target}. Look up the owner.",
                retry_after_s=0.5,
            )
        return owner

    def view_changed(self) -> None:
        """Start and stop owners to match the ownership in the view."""
        view = self._session.view
        for target, owner in list(self.by_target.items()):
            ownership = view.ownership_by_target.get(target)
            if ownership is None or ownership.epoch != owner.epoch:
                self._stop(target)
        for ownership in list(view.ownership_by_target.values()):
            if ownership.owner == self._session.boot:
                self._start(ownership)

    def hand_over(self, target_ids: collections.abc.Iterable[str]) -> None:
        """Start to release targets; running streams continue."""
        for target in target_ids:
            if target in self.by_target and target not in self._releasing:
                task = asyncio.create_task(self._release(target))
                self._releasing[target] = task
                task.add_done_callback(
                    lambda _, name=target: self._releasing.pop(name, None)
                )

    async def hand_over_all(self) -> None:
        """Release all targets and wait until the releases are committed."""
        self.hand_over(list(self.by_target))
        while self._releasing:
            await asyncio.wait(list(self._releasing.values()))

    def _start(self, ownership: catalogue.Ownership) -> None:
        info = self._session.digest.target_by_id.get(ownership.target)
        if info is None or ownership.target in self.by_target:
            return
        owner = _engine_owner.EngineOwner(
            info,
            ownership.epoch,
            self._make_engine(info.address),
            self._session,
            self._settings,
            self._metrics,
            self._clock,
            self._steps,
        )
        self.by_target[ownership.target] = owner
        self._start_task(owner.__aenter__())
        logging.info(
            "place: Acquired ownership of %s with epoch %d.",
            info.id,
            ownership.epoch,
        )

    def _stop(self, target: str) -> None:
        owner = self.by_target.pop(target)
        self._start_task(owner.__aexit__(None, None, None))
        logging.info("place: Ownership of %s ended.", target)

    def _start_task(self, work: collections.abc.Coroutine) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _release(self, target: str) -> None:
        owner = self.by_target[target]
        await self._steps.reach(wire.Step.HAND_OVER, wire.Phase.BEFORE)
        await owner.hand_over()
        release = catalogue.Release(target, owner.epoch)
        while self._session.owns(target, owner.epoch):
            with contextlib.suppress(wire.ServingError):
                await self._session.leader.command(
                    catalogue.Command(release=release)
                )
                return
            await self._clock.sleep(RELEASE_RETRY_S)
