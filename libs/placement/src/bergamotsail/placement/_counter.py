"""Event counts with exponential decay."""


class DecayingCounter:
    """Counts events by key, with exponential decay.

    Args:
        half_life_s: time after which an event counts half.
        max_keys: above this number, the half of the keys with the lowest
            counts is dropped.
    """

    def __init__(self, half_life_s: float, max_keys: int = 5_000) -> None:
        self._half_life_s = half_life_s
        self._max_keys = max_keys
        self._count_by_key: dict[str, tuple[float, float]] = {}

    def add(self, key: str, now: float, weight: float = 1.0) -> None:
        """Count an event with a weight."""
        self._count_by_key[key] = (self.value(key, now) + weight, now)
        if len(self._count_by_key) > self._max_keys:
            self._drop_half(now)

    def value(self, key: str, now: float) -> float:
        """Return the decayed count of a key."""
        count, at = self._count_by_key.get(key, (0.0, now))
        return count * 0.5 ** ((now - at) / self._half_life_s)

    def _drop_half(self, now: float) -> None:
        by_value = sorted(
            self._count_by_key, key=lambda key: self.value(key, now)
        )
        for key in by_value[: len(by_value) // 2]:
            del self._count_by_key[key]
