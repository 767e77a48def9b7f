"""Decides which requests wait while no leader is reachable.

No placements are granted in that time. The only predictor of the remaining
outage is the time it has lasted so far: half of all outages that have
lasted a given time last at least as long again.
"""

# An election takes 0.5 to 0.9 s while a majority is up, and each of 80
# daemons hears the leader every 0.53 s, so shorter gaps usually end by
# themselves.
LEADER_LOST_S = 1.5
# A refused caller retries once or twice; an earlier retry would be wasted.
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 5.0


def outlasts(silent_s: float, left_s: float) -> bool:
    """Whether an outage will probably outlast a request's patience.

    Example: after 2 s of silence a request with 3 s left waits. Just after
    0.5 s more it has less time left than the silence has lasted, and it is
    refused.
    """
    return silent_s >= LEADER_LOST_S and left_s < silent_s


def retry_after_s(silent_s: float) -> float:
    """Return the delay after which a refused caller should retry."""
    return min(max(silent_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
