"""How fast engines read prompts, learned from their first answers.

Engines of one pool differ, and one engine's speed changes when it turns
slow. A constant that was measured on other engines is wrong by a factor;
an observation of this engine, some seconds old, is not.
"""

import collections
import dataclasses

# A fresh prompt is weighed like that many observations.
PRIOR_WEIGHT = 1.5
# Observations count half after so long, so that an engine that was slow is
# believed to be like its peers again and is tried.
HALF_LIFE_S = 6.0
# Each observation leaves this part of the weight of those before it: about
# eight of them speak at a time, so that an engine that turns slow under
# load is found out within two seconds and not within one half-life.
KEPT_BY_EACH = 0.88
# Every prompt is at least this urgent.
LEAST_URGENT = 1_000
# A prompt of about this size carries the prior's speed.
PRIOR_TOKENS = 4_000.0
# A belief is computed anew when it is older than this.
BELIEF_AGE_S = 0.1
# Whatever is observed, an engine is believed to be within these speeds.
MIN_TOKENS_PER_S = 1_000.0
MAX_TOKENS_PER_S = 1_000_000.0
MAX_FIXED_S = 0.25
# One observation moves a belief by at most so many times its value.
MOST_SURPRISE = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Pace:
    """What reading a prompt takes: a fixed part and a speed.

    Args:
        fixed_s: seconds until the first answer of an empty prompt.
        tokens_per_s: speed of reading, beside what else runs.

    Example: ``Pace(0.012, 16_000.0).read_s(1_600)`` gives 0.112.
    """

    fixed_s: float
    tokens_per_s: float

    def read_s(self, tokens: int) -> float:
        """Return how long a prompt takes to be read."""
        return self.fixed_s + tokens / self.tokens_per_s


# What is believed of engines of which nothing was observed. Slower than
# most: who is believed too fast is crowded at once, who is believed too
# slow is corrected by the first answers.
FIRST_BELIEF = Pace(0.012, 16_000.0)


class PaceEstimate:
    """A line through observed (tokens, seconds), older ones weighing less.

    Example: after ``learn(8_000, 0.25, now)`` a few times over, ``pace``
    reads some 32,000 tokens a second.
    """

    def __init__(self) -> None:
        self._at = 0.0
        self._weight = 0.0
        self._tokens = 0.0
        self._seconds = 0.0
        self._tokens_squared = 0.0
        self._tokens_seconds = 0.0

    def learn(
        self, tokens: int, took_s: float, prior: Pace, now: float
    ) -> None:
        """Take one observation."""
        expected_s = self.pace(prior, now).read_s(tokens)
        took_s = min(max(took_s, 0.0), expected_s * MOST_SURPRISE)
        self._fade(now, KEPT_BY_EACH)
        self._weight += 1.0
        self._tokens += tokens
        self._seconds += took_s
        self._tokens_squared += tokens * tokens
        self._tokens_seconds += tokens * took_s

    def _fade(self, now: float, kept: float) -> None:
        factor = kept * 0.5 ** (max(0.0, now - self._at) / HALF_LIFE_S)
        self._at = max(now, self._at)
        self._weight *= factor
        self._tokens *= factor
        self._seconds *= factor
        self._tokens_squared *= factor
        self._tokens_seconds *= factor

    def pace(self, prior: Pace, now: float) -> Pace:
        """Return the belief; with nothing observed lately, the prior."""
        factor = 0.5 ** (max(0.0, now - self._at) / HALF_LIFE_S)
        high_s = prior.read_s(PRIOR_TOKENS)
        weight = self._weight * factor + 2 * PRIOR_WEIGHT
        tokens = self._tokens * factor + PRIOR_WEIGHT * PRIOR_TOKENS
        seconds = self._seconds * factor
        seconds += PRIOR_WEIGHT * (prior.fixed_s + high_s)
        squared = self._tokens_squared * factor
        squared += PRIOR_WEIGHT * PRIOR_TOKENS**2
        product = self._tokens_seconds * factor
        product += PRIOR_WEIGHT * PRIOR_TOKENS * high_s
        spread = weight * squared - tokens * tokens
        slope = (weight * product - tokens * seconds) / spread
        slope = min(max(slope, 1.0 / MAX_TOKENS_PER_S), 1.0 / MIN_TOKENS_PER_S)
        fixed_s = (seconds - slope * tokens) / weight
        return Pace(min(max(fixed_s, 0.0), MAX_FIXED_S), 1.0 / slope)


@dataclasses.dataclass(frozen=True, slots=True)
class _Unread:
    granted_at: float
    tokens: int
    priority: int


class PoolPace:
    """What is believed of a pool's engines together: the prior of each.

    Args:
        learns: False keeps to the first belief.
    """

    def __init__(self, learns: bool = True) -> None:
        self.learns = learns
        self._estimate = PaceEstimate()
        self._last = FIRST_BELIEF

    def learn(self, tokens: int, took_s: float, now: float) -> None:
        """Take an observation of any engine of the pool."""
        if not self.learns:
            return
        self._estimate.learn(tokens, took_s, FIRST_BELIEF, now)
        self._last = self._estimate.pace(FIRST_BELIEF, now)

    def pace(self) -> Pace:
        """Return the last belief; it stays while nothing is observed."""
        return self._last


class Reading:
    """The prompts that one engine has yet to read, and how fast it reads.

    A first answer shows that a prompt and all before it were read, so the
    believed backlog is put right with each and can't drift. An engine takes
    a more urgent prompt first, whatever it has begun, so a request waits
    only for what is as urgent as itself.
    """

    def __init__(self, pool: PoolPace) -> None:
        self._pool = pool
        self._estimate = PaceEstimate()
        self._unread: collections.OrderedDict[tuple[str, str], _Unread] = (
            collections.OrderedDict()
        )
        # When the engine turned to the oldest unread prompt.
        self._since = 0.0
        self._pace = pool.pace()
        self._pace_at = float("-inf")
        self._backlog_by_priority: dict[int, float] = {}
        self._backlog_at = float("-inf")

    def pace(self, now: float) -> Pace:
        """Return what is believed of its speed."""
        if now - self._pace_at > BELIEF_AGE_S:
            self._pace = self._estimate.pace(self._pool.pace(), now)
            self._pace_at = now
        return self._pace

    def add(
        self, key: tuple[str, str], tokens: int, priority: int, now: float
    ) -> None:
        """Count a prompt in that is on its way to the engine."""
        if not self._unread:
            self._since = now
        self._unread[key] = _Unread(now, tokens, priority)
        self._backlog_at = float("-inf")

    def drop(self, key: tuple[str, str]) -> None:
        """Count a prompt out that will not be read, or was."""
        if self._unread.pop(key, None) is not None:
            self._backlog_at = float("-inf")

    def begun(self, key: tuple[str, str], first_s: float, now: float) -> None:
        """Learn that the first answer came *first_s* after the grant."""
        unread = self._unread.get(key)
        if unread is None:
            return
        first_at = min(unread.granted_at + first_s, now)
        in_turn = key == next(iter(self._unread))
        self.drop(key)
        if not in_turn:
            # It was read between; the oldest had to wait for that long.
            read_s = self.pace(now).read_s(unread.tokens)
            self._since = min(self._since + read_s, max(self._since, now))
            return
        began_at = max(unread.granted_at, self._since)
        if self._pool.learns and first_at > began_at:
            took_s = first_at - began_at
            self._pool.learn(unread.tokens, took_s, now)
            prior = self._pool.pace()
            self._estimate.learn(unread.tokens, took_s, prior, now)
        self._since = max(self._since, first_at)

    def backlog_s(self, now: float, priority: int | None = None) -> float:
        """Return how long a prompt that comes now waits to be read.

        An engine that is later than believed with its next answer is
        believed to stay late by as much again.

        Args:
            priority: of the prompt, 0 for the most urgent; None counts all.
        """
        if not self._unread:
            return 0.0
        if self._backlog_at != now:
            self._backlog_at = now
            self._backlog_by_priority.clear()
        least = LEAST_URGENT if priority is None else priority
        if least not in self._backlog_by_priority:
            self._backlog_by_priority[least] = self._backlog(now, least)
        return self._backlog_by_priority[least]

    def _backlog(self, now: float, least: int) -> float:
        pace = self.pace(now)
        ahead = [u for u in self._unread.values() if u.priority <= least]
        all_s = sum(pace.read_s(unread.tokens) for unread in ahead)
        oldest = next(iter(self._unread.values()))
        first_s = pace.read_s(oldest.tokens)
        spent_s = max(0.0, now - max(self._since, oldest.granted_at))
        overdue_s = max(0.0, spent_s - first_s)
        if oldest.priority <= least:
            all_s -= min(spent_s, first_s)
        return all_s + overdue_s
