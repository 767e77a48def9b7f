"""Estimates of prefill speed, learned from the times to the first answer.

Engines of one pool differ in speed, and an engine may slow down while it
runs. A constant measured on other engines can be wrong by a factor, so
recent observations of the engine itself are used.
"""

import collections
import dataclasses

# Weight of each of the prior's two points, in observations.
PRIOR_WEIGHT = 1.5
# Half-life of the weight of observations. An engine that was slow returns to
# the estimate of its pool and gets requests again.
HALF_LIFE_S = 6.0
# Factor that each observation applies to the weight of the earlier ones. It
# gives an effective window of about eight observations, so that an engine
# that slows down under load is detected within two seconds rather than one
# half-life.
DECAY_PER_OBSERVATION = 0.88
# Priority value that no request exceeds; it selects all prompts.
LOWEST_PRIORITY = 1_000
# Prompt size of the second point of the prior; the first is an empty prompt.
PRIOR_TOKENS = 4_000.0
# Maximum age of a cached estimate.
MAX_ESTIMATE_AGE_S = 0.1
# Bounds of an estimate, whatever is observed.
MIN_TOKENS_PER_S = 1_000.0
MAX_TOKENS_PER_S = 1_000_000.0
MAX_FIXED_S = 0.25
# An observation is capped at this multiple of the expected duration.
MAX_OBSERVATION_RATIO = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Pace:
    """A linear model of prefill time: a fixed part and a speed.

    Args:
        fixed_s: seconds until the first answer to an empty prompt.
        tokens_per_s: prefill speed under the concurrent load.

    Example: ``Pace(0.012, 16_000.0).prefill_s(1_600)`` gives 0.112.
    """

    fixed_s: float
    tokens_per_s: float

    def prefill_s(self, tokens: int) -> float:
        """Return the prefill time of a prompt in seconds."""
        return self.fixed_s + tokens / self.tokens_per_s


# Estimate for engines without observations. It is slower than most engines:
# one that is overestimated is overloaded at once, while one that is
# underestimated is corrected by its first answers.
INITIAL_PACE = Pace(0.012, 16_000.0)


class PaceEstimate:
    """A least-squares line through (tokens, seconds) with decaying weights.

    Example: after several calls of ``learn(8_000, 0.25, now)``, ``pace``
    returns a speed near 32,000 tokens a second.
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
        """Add an observation."""
        expected_s = self.pace(prior, now).prefill_s(tokens)
        took_s = min(max(took_s, 0.0), expected_s * MAX_OBSERVATION_RATIO)
        self._decay(now, DECAY_PER_OBSERVATION)
        self._weight += 1.0
        self._tokens += tokens
        self._seconds += took_s
        self._tokens_squared += tokens * tokens
        self._tokens_seconds += tokens * took_s

    def _decay(self, now: float, kept: float) -> None:
        factor = kept * 0.5 ** (max(0.0, now - self._at) / HALF_LIFE_S)
        self._at = max(now, self._at)
        self._weight *= factor
        self._tokens *= factor
        self._seconds *= factor
        self._tokens_squared *= factor
        self._tokens_seconds *= factor

    def pace(self, prior: Pace, now: float) -> Pace:
        """Return the estimate; without recent observations, the prior."""
        factor = 0.5 ** (max(0.0, now - self._at) / HALF_LIFE_S)
        prior_s = prior.prefill_s(PRIOR_TOKENS)
        weight = self._weight * factor + 2 * PRIOR_WEIGHT
        tokens = self._tokens * factor + PRIOR_WEIGHT * PRIOR_TOKENS
        seconds = self._seconds * factor
        seconds += PRIOR_WEIGHT * (prior.fixed_s + prior_s)
        squared = self._tokens_squared * factor
        squared += PRIOR_WEIGHT * PRIOR_TOKENS**2
        product = self._tokens_seconds * factor
        product += PRIOR_WEIGHT * PRIOR_TOKENS * prior_s
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
    """The estimate over all engines of a pool, the prior of each of them.

    Args:
        learns: False always returns the initial estimate.
    """

    def __init__(self, learns: bool = True) -> None:
        self.learns = learns
        self._estimate = PaceEstimate()
        self._last = INITIAL_PACE

    def learn(self, tokens: int, took_s: float, now: float) -> None:
        """Add an observation of any engine of the pool."""
        if not self.learns:
            return
        self._estimate.learn(tokens, took_s, INITIAL_PACE, now)
        self._last = self._estimate.pace(INITIAL_PACE, now)

    def pace(self) -> Pace:
        """Return the latest estimate; it does not decay between updates."""
        return self._last


class Reading:
    """The prefill backlog of one engine and the estimate of its speed.

    A prompt is unread until its prefill has ended, which its first answer
    shows. Each first answer corrects the estimated backlog, so that errors
    don't accumulate. An engine preempts prefill for a more urgent prompt, so
    a request waits only for prompts that are at least as urgent.
    """

    def __init__(self, pool: PoolPace) -> None:
        self._pool = pool
        self._estimate = PaceEstimate()
        self._unread: collections.OrderedDict[tuple[str, str], _Unread] = (
            collections.OrderedDict()
        )
        # When the prefill of the oldest unread prompt started.
        self._prefill_since = 0.0
        self._pace = pool.pace()
        self._pace_at = float("-inf")
        # Number of the unread prompts and of their tokens, by priority.
        self._count_by_priority: collections.Counter[int] = (
            collections.Counter()
        )
        self._tokens_by_priority: collections.Counter[int] = (
            collections.Counter()
        )

    def pace(self, now: float) -> Pace:
        """Return the estimated speed, cached for MAX_ESTIMATE_AGE_S."""
        if now - self._pace_at > MAX_ESTIMATE_AGE_S:
            self._pace = self._estimate.pace(self._pool.pace(), now)
            self._pace_at = now
        return self._pace

    def add(
        self, key: tuple[str, str], tokens: int, priority: int, now: float
    ) -> None:
        """Add a prompt that is sent to the engine."""
        if not self._unread:
            self._prefill_since = now
        earlier = self._unread.get(key)
        if earlier is not None:
            self._subtract(earlier)
        self._unread[key] = _Unread(now, tokens, priority)
        self._count_by_priority[priority] += 1
        self._tokens_by_priority[priority] += tokens

    def drop(self, key: tuple[str, str]) -> None:
        """Remove a prompt whose prefill has ended or is no longer needed."""
        unread = self._unread.pop(key, None)
        if unread is not None:
            self._subtract(unread)

    def _subtract(self, unread: _Unread) -> None:
        """Remove a prompt from the numbers by priority."""
        priority = unread.priority
        self._count_by_priority[priority] -= 1
        self._tokens_by_priority[priority] -= unread.tokens
        if not self._count_by_priority[priority]:
            del self._count_by_priority[priority]
            del self._tokens_by_priority[priority]

    def begun(self, key: tuple[str, str], first_s: float, now: float) -> None:
        """Record that the first answer came *first_s* after the grant."""
        unread = self._unread.get(key)
        if unread is None:
            return
        first_at = min(unread.granted_at + first_s, now)
        is_oldest = key == next(iter(self._unread))
        self.drop(key)
        if not is_oldest:
            # It overtook the oldest prompt, whose prefill was delayed by its
            # own.
            prefill_s = self.pace(now).prefill_s(unread.tokens)
            self._prefill_since = min(
                self._prefill_since + prefill_s, max(self._prefill_since, now)
            )
            return
        began_at = max(unread.granted_at, self._prefill_since)
        if self._pool.learns and first_at > began_at:
            took_s = first_at - began_at
            self._pool.learn(unread.tokens, took_s, now)
            prior = self._pool.pace()
            self._estimate.learn(unread.tokens, took_s, prior, now)
        self._prefill_since = max(self._prefill_since, first_at)

    def backlog_s(self, now: float, priority: int | None = None) -> float:
        """Return how long a prompt that is sent now waits for its prefill.

        If the engine's next answer is overdue, the estimate grows by the
        time that it is overdue.

        Args:
            priority: of the prompt, 0 is the most urgent; None counts all
                prompts.
        """
        if not self._unread:
            return 0.0
        lowest_priority = LOWEST_PRIORITY if priority is None else priority
        pace = self.pace(now)
        count = tokens = 0
        for key, number in self._count_by_priority.items():
            if key <= lowest_priority:
                count += number
                tokens += self._tokens_by_priority[key]
        total_s = count * pace.fixed_s + tokens / pace.tokens_per_s
        oldest = next(iter(self._unread.values()))
        first_s = pace.prefill_s(oldest.tokens)
        spent_s = max(0.0, now - max(self._prefill_since, oldest.granted_at))
        overdue_s = max(0.0, spent_s - first_s)
        if oldest.priority <= lowest_priority:
            total_s -= min(spent_s, first_s)
        return total_s + overdue_s
