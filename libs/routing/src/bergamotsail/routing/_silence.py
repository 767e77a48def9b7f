"""Whom a daemon lets wait while it hears of no leader.

Nobody can give a place then. How long that lasts is not known; what is
known is how long it has lasted. Of silences of all lengths half of those
that have lasted so long last as long again, or longer.
"""

# An election takes 0.5 to 0.9 s where a majority is there, and a daemon of
# 80 hears a leader each 0.53 s: a shorter silence ends by itself, as a rule.
LONG_S = 1.5
# Whoever is refused comes back once or twice; sooner than this is in vain.
LEAST_RETRY_S = 1.0
MOST_RETRY_S = 5.0


def outlasts(silent_s: float, left_s: float) -> bool:
    """Whether a silence likely lasts longer than a request can wait.

    Example: after 2 s of silence, who can wait 3 s waits; after 0.5 s more
    he has as much time left as the silence has lasted, and is refused.
    """
    return silent_s >= LONG_S and left_s < silent_s


def retry_after_s(silent_s: float) -> float:
    """Return when whoever is refused may come back."""
    return min(max(silent_s, LEAST_RETRY_S), MOST_RETRY_S)
