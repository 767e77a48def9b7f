"""Counts that fade, so that what was long ago is forgotten."""


class DecayingCounter:
    """How often something happened to each key lately.

    Args:
        half_life_s: after this long what happened counts half.
        most: how many keys are kept; those that count least are dropped.
    """

    def __init__(self, half_life_s: float, most: int = 5_000) -> None:
        self._half_life_s = half_life_s
        self._most = most
        self._count_by_key: dict[str, tuple[float, float]] = {}

    def add(self, key: str, now: float, weight: float = 1.0) -> None:
        """Count what happened, by its weight."""
        self._count_by_key[key] = (self.value(key, now) + weight, now)
        if len(self._count_by_key) > self._most:
            self._drop_half(now)

    def value(self, key: str, now: float) -> float:
        """Return the faded count."""
        count, at = self._count_by_key.get(key, (0.0, now))
        return count * 0.5 ** ((now - at) / self._half_life_s)

    def _drop_half(self, now: float) -> None:
        by_value = sorted(
            self._count_by_key, key=lambda key: self.value(key, now)
        )
        for key in by_value[: len(by_value) // 2]:
            del self._count_by_key[key]
