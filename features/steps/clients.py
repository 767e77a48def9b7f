"""Steps of crowds of clients that don't behave."""

import behave

from features.support import client_limits
from features.support import clients


@behave.given("a system with lowered limits")
def lowered_limits(context) -> None:
    """Start it once for all scenarios of the feature."""
    if not hasattr(context.feature, "crowded"):
        crowded = clients.CrowdedSystem().__enter__()
        context.feature.crowded = crowded
        context.add_cleanup(crowded.__exit__, layer="feature")


@behave.then("{kind} to {listener} of a daemon as {role} do no harm")
def no_harm(context, kind: str, listener: str, role: str) -> None:
    faults = context.feature.crowded.faults(kind, role, listener)
    assert not faults, faults


@behave.then("the limit scenario {name} passes at a daemon")
def limit_scenario_passes(context, name: str) -> None:
    address = context.feature.crowded.fresh_address(client_limits.ROLE)
    client_limits.SCENARIOS[name](address)
