"""The switches and figures of the decisions on places.

Each mechanism can be switched off by itself, so that what it gains can be
measured without an edit.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceSettings:
    """How the holder of the orders decides.

    Args:
        learned_pace: believe what was observed of each engine's speed,
            instead of one figure for all.
        spread: rather load a further copy of a busy adapter, or wait for
            one that is being loaded, than queue where it is resident.
        other_datacentre_s: cost of bytes between data centres.
        store_price_s: cost of a fetch from the store that only one
            request is known to need.

    Example: ``PlaceSettings(spread=False)``
    """

    learned_pace: bool = True
    spread: bool = True
    other_datacentre_s: float = 0.01
    store_price_s: float = 0.45

    def __post_init__(self) -> None:
        for field in ("other_datacentre_s", "store_price_s"):
            if not 0.0 <= getattr(self, field) <= 10.0:
                raise ValueError(f"{field} must lie between 0 and 10 seconds.")
