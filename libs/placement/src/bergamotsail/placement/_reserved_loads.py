"""Reserves a share of the adapter loads for adapters that were left out.

Waiting requests are ranked by urgency, so an adapter that is rarely requested
competes anew with each of its requests, and loses each time if there are
always more urgent requests for others.
"""

import collections
import collections.abc

from bergamotsail.placement import _engine_record

# Reserved loads allowed for each load in rank order. It bounds the cost for
# other requests, however many adapters were left out.
RESERVED_PER_RANKED_LOAD = 0.5
# Number of adapters whose refusals are counted.
MAX_COUNTED = 4_000

AdapterName = _engine_record.AdapterName


class ReservedLoads:
    """Counts refusals by adapter and allows loads outside the rank order.

    An adapter is left out if requests for it were refused since one was last
    granted. The one with the most refusals is loaded first. Nothing is
    reserved while no request is refused.

    Example::

        loads = ReservedLoads()
        loads.count_refusal(("base", "a7"))
        loads.count_ranked_load()
        loads.count_ranked_load()
        loads.next_name([("base", "a7"), ("base", "a1")])  # ("base", "a7")
    """

    def __init__(self) -> None:
        self._allowance = 0.0
        self._refusals_by_name: collections.OrderedDict[AdapterName, int] = (
            collections.OrderedDict()
        )

    def refusals(self, name: AdapterName) -> int:
        """Return how often an adapter was refused since its last grant."""
        return self._refusals_by_name.get(name, 0)

    def count_refusal(self, name: AdapterName, count: int = 1) -> None:
        """Count refused requests for an adapter.

        Beyond MAX_COUNTED adapters, the one whose last refusal is the oldest
        is forgotten.
        """
        self._refusals_by_name[name] = self.refusals(name) + count
        self._refusals_by_name.move_to_end(name)
        if len(self._refusals_by_name) > MAX_COUNTED:
            self._refusals_by_name.popitem(last=False)

    def count_grant(self, name: AdapterName) -> None:
        """Forget the refusals of an adapter that was granted."""
        self._refusals_by_name.pop(name, None)

    def count_ranked_load(self) -> None:
        """Count a load in rank order.

        The allowance doesn't accumulate, so that reserved loads never come
        in a row at the cost of urgent requests.
        """
        allowance = self._allowance + RESERVED_PER_RANKED_LOAD
        self._allowance = min(allowance, 1.0)

    def count_reserved_load(self) -> None:
        """Count a load outside the rank order."""
        self._allowance -= 1.0

    def next_name(
        self, waiting: collections.abc.Iterable[AdapterName]
    ) -> AdapterName | None:
        """Return the adapter to load outside the rank order now.

        Args:
            waiting: adapters that requests wait for without a load.

        Returns:
            The one of them that was refused most often; None if none was
            refused, or no reserved load is allowed now.
        """
        if self._allowance < 1.0 or not self._refusals_by_name:
            return None
        left_out = (n for n in waiting if n in self._refusals_by_name)
        return max(left_out, key=self.refusals, default=None)

    def clear(self) -> None:
        """Forget all refusals and the allowance."""
        self._allowance = 0.0
        self._refusals_by_name.clear()
