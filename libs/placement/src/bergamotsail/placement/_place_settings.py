"""Settings of the scheduler's decisions.

Each mechanism can be disabled separately to measure its benefit.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceSettings:
    """Settings of the scheduler's decisions.

    Args:
        learned_pace: estimate the prefill speed of each engine from
            observations, instead of using one constant for all.
        spread: load a busy adapter on a further engine, or wait for such a
            load in progress, if that is faster than queueing where it is
            resident.
        other_datacentre_s: cost of traffic between data centres, in seconds.
        store_price_s: cost of a fetch from the store for a single request,
            in seconds.

    Example: ``PlaceSettings(spread=False)``
    """

    learned_pace: bool = True
    spread: bool = True
    other_datacentre_s: float = 0.01
    store_price_s: float = 0.45

    def __post_init__(self) -> None:
        for field in ("other_datacentre_s", "store_price_s"):
            if not 0.0 <= getattr(self, field) <= 10.0:
                raise ValueError(f"{field} must be between 0 and 10 seconds.")
