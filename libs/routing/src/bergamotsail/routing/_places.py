"""An entry's side of placement: ask for places, give them back."""

import asyncio
import collections
import dataclasses

from bergamotsail import control
from bergamotsail import placement
from bergamotsail import wire

ASK_RETRY_S = 0.05
MOST_PAUSE_S = 0.4
SLACK_S = 0.25
RELEASE_SPACING_S = 0.01
RELEASE_TIMEOUT_S = 0.5
MOST_RELEASES = 200


class Places:
    """Places that this daemon's requests use; an async context manager."""

    def __init__(
        self,
        boot: str,
        leader: control.Leader,
        transport: wire.PeerTransport,
        clock: wire.Clock = wire.LoopClock(),
    ) -> None:
        self._boot = boot
        self._leader = leader
        self._transport = transport
        self._clock = clock
        self._use_by_request: dict[str, control.Use] = {}
        self._ended: collections.deque[placement.EndedUse] = collections.deque(
            maxlen=MOST_RELEASES
        )
        self._wake = asyncio.Event()
        self._task: asyncio.Task | None = None

    async def __aenter__(self) -> "Places":
        self._task = asyncio.create_task(self._release())
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def uses(self) -> tuple[control.Use, ...]:
        """Return what runs now, for the heartbeat."""
        return tuple(self._use_by_request.values())

    async def take(
        self, request: placement.PlaceRequest
    ) -> placement.PlaceReply:
        """Ask the leader for a place until one comes or patience ends.

        Raises:
            OverloadError: there was none in time.
        """
        deadline = self._clock.now() + request.patience_s
        last: wire.ServingError | None = None
        address = self._leader.address
        pause_s = ASK_RETRY_S
        while (left_s := deadline - self._clock.now()) > 0:
            asked = dataclasses.replace(request, patience_s=left_s)
            try:
                reply = await self._transport.call(
                    address, placement.PLACE, asked, left_s + SLACK_S
                )
            except wire.NotLeaderError as error:
                last = error
                if error.use is not None and error.use != address:
                    address = error.use
                    continue
                await self._clock.sleep(min(pause_s, left_s))
                pause_s = min(pause_s * 2, MOST_PAUSE_S)
                address = self._leader.address
                continue
            except (wire.NotSentError, wire.PeerLostError) as error:
                last = error
                await self._clock.sleep(min(pause_s, left_s))
                pause_s = min(pause_s * 2, MOST_PAUSE_S)
                address = self._leader.address
                continue
            self._use_by_request[request.request] = control.Use(
                request.request,
                reply.target,
                request.model,
                request.adapter,
                request.prompt_tokens + request.output_tokens,
            )
            return reply
        raise wire.OverloadError(
            "No place was found in time. Come back later.",
            retry_after_s=1.0,
        ) from last

    def give_back(
        self, request: str, target: str, outcome: placement.UseOutcome
    ) -> None:
        """Say that a request no longer runs."""
        self._use_by_request.pop(request, None)
        self._ended.append(placement.EndedUse(request, target, outcome))
        self._wake.set()

    async def _release(self) -> None:
        """Send what ended in batches; a lost one is healed by heartbeats."""
        while True:
            await self._wake.wait()
            await self._clock.sleep(RELEASE_SPACING_S)
            self._wake.clear()
            ended = tuple(self._ended)
            self._ended.clear()
            if not ended:
                continue
            message = placement.ReleaseRequest(self._boot, ended)
            try:
                await self._transport.call(
                    self._leader.address,
                    placement.RELEASE,
                    message,
                    RELEASE_TIMEOUT_S,
                )
            except wire.ServingError:
                continue
