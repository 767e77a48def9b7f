"""Requests that wait for a grant, and the order in which they are served."""

import asyncio
import collections.abc
import dataclasses
import itertools

from bergamotsail.placement import _engine_record
from bergamotsail.placement import _pace
from bergamotsail.placement import _place_messages
from bergamotsail.placement import _place_policy

# Approximate duration of a load and the request's transfer to the engine.
TYPICAL_LOAD_S = 0.28


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits for a grant.

    Waiters are compared by identity. Each call searches the list of all of
    them, and comparing their fields would take longer than its decision.

    Args:
        arrived_at: when the request first asked for a target.
        done: resolved with the reply or with the refusal as an exception.
    """

    request: _place_messages.PlaceRequest
    arrived_at: float
    done: asyncio.Future

    @property
    def name(self) -> _engine_record.AdapterName:
        """Base model and adapter that the request needs."""
        return (self.request.model, self.request.adapter)

    @property
    def tokens(self) -> int:
        """Prompt tokens plus the maximum of generated tokens."""
        return self.request.prompt_tokens + self.request.output_tokens

    @property
    def needs_software(self) -> bool:
        """Whether it waits for engines of one software version only."""
        return self.request.software is not None

    def rank(self, pace: _pace.Pace, now: float) -> tuple[bool, int, float]:
        """Return the sort key: requests that can still be on time come first.

        Under overload, first-come-first-served order eventually makes every
        request late. Ties are broken by priority, then by the latest start
        time that meets the objective, which is earlier for long prompts.
        """
        request = self.request
        needs_s = TYPICAL_LOAD_S + pace.prefill_s(request.prompt_tokens)
        latest_start = (
            self.arrived_at + request.objective_s - request.age_s - needs_s
        )
        return latest_start < now, request.priority, latest_start

    def demand(self, uses: float, now: float) -> _place_policy.PlacementDemand:
        """Return the requirements of the request for a decision."""
        return _place_policy.PlacementDemand(
            self.request.pool,
            self.name,
            self.tokens,
            self.request.avoid,
            self.request.parts,
            self.request.prompt_tokens,
            self.request.datacentre,
            now - self.arrived_at,
            uses,
            self.request.priority,
            self.request.software,
        )


class WaitingList(collections.abc.Collection[Waiter]):
    """The requests that wait for a grant, and the adapters that they need.

    Example::

        waiting.add(waiter)
        waiter.name in waiting.names  # True
    """

    def __init__(self) -> None:
        self._by_name: dict[_engine_record.AdapterName, dict[Waiter, None]]
        self._by_name = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> collections.abc.Iterator[Waiter]:
        return itertools.chain.from_iterable(self._by_name.values())

    def __contains__(self, waiter: object) -> bool:
        return isinstance(waiter, Waiter) and waiter in self.of(waiter.name)

    @property
    def names(self) -> collections.abc.Collection[_engine_record.AdapterName]:
        """The adapters of the waiting requests."""
        return self._by_name.keys()

    def of(
        self, name: _engine_record.AdapterName
    ) -> collections.abc.Collection[Waiter]:
        """Return the requests that wait for an adapter."""
        return self._by_name.get(name, {}).keys()

    def add(self, waiter: Waiter) -> None:
        """Add a request that is not in the list."""
        self._by_name.setdefault(waiter.name, {})[waiter] = None
        self._count += 1

    def discard(self, waiter: Waiter) -> None:
        """Remove a request if it is in the list."""
        waiters = self._by_name.get(waiter.name, {})
        if waiter not in waiters:
            return
        del waiters[waiter]
        self._count -= 1
        if not waiters:
            del self._by_name[waiter.name]

    def clear(self) -> None:
        """Remove all requests."""
        self._by_name.clear()
        self._count = 0
