"""Decides whether a target is reached directly or through a neighbour.

An entry may lose its links to all targets, or to some, while it still
reaches the other entries. A target that nobody reaches is not such a case:
requests go to other targets then.
"""

import dataclasses
import enum

from bergamotsail import wire

# An entry that failed to connect to this many targets, and to none since, may
# have lost its links to all.
TARGETS_OF_A_CUT = 2
# It may have lost its link to one target after this many failures in a row.
FAILURES_OF_A_CUT_LINK = 2
# Failures are forgotten after this long, so that rare ones don't add up.
MEMORY_S = 10.0
# While targets are reached through neighbours, one request in this time tries
# the direct way first.
PROBE_INTERVAL_S = 1.0
# How long a target that a neighbour can't reach either counts as down.
DOWN_S = 1.0


class Way(enum.Enum):
    """How a request is sent to a target.

    DIRECT: directly, and through a neighbour if that fails and the link may
        be cut.
    PROBE: as DIRECT, with a short time to connect.
    NEIGHBOUR: through a neighbour only.
    """

    DIRECT = "direct"
    PROBE = "probe"
    NEIGHBOUR = "neighbour"


@dataclasses.dataclass(slots=True)
class _Failures:
    """Failures to connect to a target since the last success.

    Args:
        started_at: when the last of them was started.
        last_at: when it failed.
    """

    count: int = 0
    started_at: float = float("-inf")
    last_at: float = float("-inf")


class Reach:
    """Which targets this entry reaches directly, from its own connections.

    Example: two targets refuse connections, so both are reached through a
    neighbour until a direct connection succeeds::

        reach.failed("e1", clock.now())
        reach.failed("e2", clock.now())
        assert reach.way("e3") is not Way.DIRECT
    """

    def __init__(self, clock: wire.Clock = wire.LoopClock()) -> None:
        self._clock = clock
        self._failures_by_target: dict[str, _Failures] = {}
        self._down_until_by_target: dict[str, float] = {}
        self._reached_at = float("-inf")
        self._probed_at = float("-inf")

    @property
    def is_cut(self) -> bool:
        """Whether this entry may reach no target directly."""
        since = max(self._reached_at, self._clock.now() - MEMORY_S)
        failed = sum(
            failures.started_at > since
            for failures in self._failures_by_target.values()
        )
        return failed >= TARGETS_OF_A_CUT

    def may_be_cut_from(self, target: str) -> bool:
        """Whether a neighbour may reach a target that this entry doesn't."""
        now = self._clock.now()
        if now < self._down_until_by_target.get(target, 0.0):
            return False
        failures = self._failures_by_target.get(target)
        link_may_be_cut = (
            failures is not None
            and failures.count >= FAILURES_OF_A_CUT_LINK
            and failures.last_at > now - MEMORY_S
        )
        return link_may_be_cut or self.is_cut

    def way(self, target: str) -> Way:
        """Return how to send the next request to a target."""
        if not self.may_be_cut_from(target):
            return Way.DIRECT
        now = self._clock.now()
        if now - self._probed_at < PROBE_INTERVAL_S:
            return Way.NEIGHBOUR
        self._probed_at = now
        return Way.PROBE

    def reached(self, target: str) -> None:
        """Note a direct connection that was opened just now.

        Answers on connections that were open before say nothing: these may
        live on while new ones fail.
        """
        self._reached_at = self._clock.now()
        self._failures_by_target.pop(target, None)
        self._down_until_by_target.pop(target, None)

    def failed(self, target: str, started_at: float) -> None:
        """Note a direct connection that failed, with nothing sent.

        Args:
            started_at: when it was started; one that was opened since then
                shows that not all links were cut.
        """
        self._forget_old()
        failures = self._failures_by_target.setdefault(target, _Failures())
        failures.count += 1
        failures.started_at = started_at
        failures.last_at = self._clock.now()

    def down(self, target: str) -> None:
        """Note that neighbours don't reach a target either."""
        self._down_until_by_target[target] = self._clock.now() + DOWN_S

    def _forget_old(self) -> None:
        now = self._clock.now()
        for target, failures in list(self._failures_by_target.items()):
            if failures.last_at < now - MEMORY_S:
                del self._failures_by_target[target]
        for target, until in list(self._down_until_by_target.items()):
            if until < now:
                del self._down_until_by_target[target]
