"""Scheduling of loads from a weight store, one at a time.

A store reaches full speed only with one load at a time, and load capacity is
the scarcest resource of the system. The member with the least recent use of
the store, relative to its weight, goes first; within a member the most urgent
load.
"""

import asyncio
import contextlib
import dataclasses
import itertools

from bergamotsail.control import _messages
from bergamotsail import wire

# A turn that was not ended is given to the next load after this time.
TURN_LEASE_S = 15.0
# Half-life of the use of the store that is charged to a member.
USE_HALF_LIFE_S = 30.0


@dataclasses.dataclass(slots=True, eq=False)
class _Waiting:
    request: _messages.TurnRequest
    ready: asyncio.Future


class StoreQueue:
    """Queue of loads from one store, in the leader's memory only.

    A new leader starts with an empty queue. At worst two loads then overlap,
    which is slow but correct.
    """

    def __init__(self, clock: wire.Clock) -> None:
        self._clock = clock
        self._waiting: list[_Waiting] = []
        self._turn: str | None = None
        self._turn_member = ""
        self._turn_since = 0.0
        self._used_by_member: dict[str, float] = {}
        self._used_at = 0.0
        self._numbers = itertools.count(1)

    async def take(
        self,
        request: _messages.TurnRequest,
        weight_by_member: dict[str, float],
    ) -> _messages.TurnReply:
        """Wait for a turn.

        Returns:
            A reply without a turn if there was none within ``wait_s``.
        """
        ready = asyncio.get_running_loop().create_future()
        waiting = _Waiting(request, ready)
        self._waiting.append(waiting)
        self._start_next(weight_by_member)
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(request.wait_s):
                    return await ready
            return _messages.TurnReply()
        except asyncio.CancelledError:
            if ready.done() and not ready.cancelled():
                self.end(ready.result().turn, weight_by_member)
            raise
        finally:
            if waiting in self._waiting:
                self._waiting.remove(waiting)

    def end(self, turn: str, weight_by_member: dict[str, float]) -> None:
        """End a turn and start the next; an outdated turn is ignored."""
        if turn != self._turn:
            return
        self._charge()
        self._turn = None
        self._start_next(weight_by_member)

    def _start_next(self, weight_by_member: dict[str, float]) -> None:
        now = self._clock.now()
        if self._turn is not None:
            if now - self._turn_since < TURN_LEASE_S:
                return
            self._charge()
            self._turn = None
        live = [w for w in self._waiting if not w.ready.done()]
        if not live:
            return
        self._decay(now)
        chosen, member = min(
            (
                (waiting, member)
                for waiting in live
                for member in waiting.request.score_by_member
            ),
            key=lambda pair: self._rank(*pair, weight_by_member),
        )
        self._turn = f"{chosen.request.boot}/{next(self._numbers)}"
        self._turn_member = member
        self._turn_since = now
        self._waiting.remove(chosen)
        chosen.ready.set_result(_messages.TurnReply(self._turn, member))

    def _rank(
        self,
        waiting: _Waiting,
        member: str,
        weight_by_member: dict[str, float],
    ) -> tuple[float, float]:
        used_s = self._used_by_member.get(member, 0.0)
        # Rounding lets urgency decide between members with similar use.
        use = round(used_s / weight_by_member.get(member, 1.0))
        return (use, -waiting.request.score_by_member[member])

    def _charge(self) -> None:
        held_s = self._clock.now() - self._turn_since
        used_s = self._used_by_member.get(self._turn_member, 0.0)
        self._used_by_member[self._turn_member] = used_s + held_s

    def _decay(self, now: float) -> None:
        kept = 0.5 ** ((now - self._used_at) / USE_HALF_LIFE_S)
        self._used_at = now
        self._used_by_member = {
            member: used_s * kept
            for member, used_s in self._used_by_member.items()
        }
