"""Requests that wait for a place, and who of them goes first."""

import asyncio
import dataclasses

from bergamotsail.placement import _holding
from bergamotsail.placement import _pace
from bergamotsail.placement import _place_messages
from bergamotsail.placement import _place_policy

# What a load and the way to the engine take, about.
LOAD_S = 0.28


@dataclasses.dataclass(slots=True)
class Waiter:
    """A request that waits for a place.

    Args:
        done: set to the reply, or to the refusal.
    """

    request: _place_messages.PlaceRequest
    arrived_at: float
    done: asyncio.Future

    @property
    def name(self) -> _holding.AdapterName:
        """The adapter that it waits for."""
        return (self.request.model, self.request.adapter)

    @property
    def tokens(self) -> int:
        """Tokens to be read and generated at most."""
        return self.request.prompt_tokens + self.request.output_tokens

    def rank(self, pace: _pace.Pace, now: float) -> tuple[bool, int, float]:
        """Order waiters: first those who can still be on time.

        When places are short, serving in order of arrival makes everyone
        late in the end. A long prompt must begin sooner.
        """
        request = self.request
        needs_s = LOAD_S + pace.read_s(request.prompt_tokens)
        begins_by = (
            self.arrived_at + request.objective_s - request.age_s - needs_s
        )
        return begins_by < now, request.priority, begins_by

    def wish(self, uses: float, now: float) -> _place_policy.PlacementDemand:
        """Return what the decisions need to know of it."""
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
        )
