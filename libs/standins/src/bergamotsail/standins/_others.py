"""In-process fakes of a weight store, a service and an instance list."""

import asyncio
import collections
import dataclasses

from bergamotsail.standins import _engine
from bergamotsail import targets
from bergamotsail import wire

TIME_SLICE_S = 0.005


class WeightStoreStandIn(_engine.WeightSource):
    """A fake weight store whose bandwidth is shared by concurrent loads.

    Args:
        load_s: seconds for one load without concurrent loads.
    """

    def __init__(self, load_s: float) -> None:
        self.load_s = load_s
        self.fault: wire.ServingError | None = None
        self.fetches = 0
        self.max_concurrent_fetches = 0
        self._active = 0

    async def fetch(self, weights: str) -> None:
        self._active += 1
        self.max_concurrent_fetches = max(
            self.max_concurrent_fetches, self._active
        )
        left_s = self.load_s
        try:
            while left_s > 1e-9:
                slice_s = min(
                    TIME_SLICE_S * self._active, left_s * self._active
                )
                share = slice_s / self._active
                await asyncio.sleep(slice_s)
                left_s -= share
                if self.fault is not None:
                    raise self.fault
        finally:
            self._active -= 1
        self.fetches += 1


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedCall:
    """A call that the service received."""

    method: str
    path: str
    key: str
    body: bytes


class ServiceStandIn:
    """A fake service that records its calls, per idempotency key.

    Args:
        delay_s: seconds that each call takes.
    """

    def __init__(self, delay_s: float = 0.01) -> None:
        self.delay_s = delay_s
        self.received: list[ReceivedCall] = []
        self.count_by_key: collections.Counter[str] = collections.Counter()

    async def call(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> targets.ServiceReply:
        """Run a call; it is counted as run before the delay."""
        lowered = {name.lower(): value for name, value in headers.items()}
        key = lowered.get("idempotency-key", "")
        self.received.append(ReceivedCall(method, path, key, body))
        self.count_by_key[key] += 1
        await asyncio.sleep(self.delay_s)
        reply = {"done": path, "number": len(self.received)}
        headers = {"Content-Type": "application/json"}
        return targets.ServiceReply(200, headers, wire.encode(reply))


class InstanceListStandIn:
    """A fake of the platform's instance list with propagation delay.

    Args:
        lag_s: seconds until a change becomes visible.
    """

    def __init__(self, lag_s: float = 0.5) -> None:
        self.lag_s = lag_s
        self.fault: wire.ServingError | None = None
        self._history: list[tuple[float, tuple[targets.Instance, ...]]] = []

    def set(self, instances: tuple[targets.Instance, ...]) -> None:
        """Replace the list; the first one is visible immediately."""
        now = asyncio.get_running_loop().time()
        visible_at = now + self.lag_s if self._history else now
        self._history.append((visible_at, instances))

    def read(self) -> tuple[targets.Instance, ...]:
        """Return the list that is visible now.

        Raises:
            ServingError: the fault that was injected.
        """
        if self.fault is not None:
            raise self.fault
        now = asyncio.get_running_loop().time()
        shown: tuple[targets.Instance, ...] = ()
        for visible_at, instances in self._history:
            if visible_at <= now:
                shown = instances
        return shown
