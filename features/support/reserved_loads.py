"""Tests of loads reserved for adapters that were left out."""

import hypothesis
from hypothesis import strategies

from bergamotsail import placement
from bergamotsail.placement import _decisions
from bergamotsail.placement import _engine_record
from bergamotsail.placement import _engine_table
from bergamotsail.placement import _place_policy
from bergamotsail.placement import _reserved_loads
from bergamotsail import targets
from features.support import decisions

HOT, RARE, RARER = (("base", name) for name in ("hot", "rare", "rarer"))


def _loads(refusals: dict, ranked: int = 2) -> _reserved_loads.ReservedLoads:
    """Return reserved loads after refusals and loads in rank order."""
    loads = _reserved_loads.ReservedLoads()
    for name, count in refusals.items():
        loads.count_refusal(name, count)
    for _ in range(ranked):
        loads.count_ranked_load()
    return loads


def most_refused_is_loaded_first() -> list[str]:
    """Of the waiting adapters the one with the most refusals is next."""
    loads = _loads({RARE: 2, RARER: 3, HOT: 9})
    found = loads.next_name([RARE, RARER])
    loads.count_grant(RARER)
    after = loads.next_name([RARE, RARER])
    return [] if (found, after) == (RARER, RARE) else [f"{found}, {after}"]


def nothing_reserved_without_refusals() -> list[str]:
    """A deployment that refuses nothing decides as without reserved loads."""
    found = _loads({}).next_name([HOT, RARE])
    return [f"{found} was loaded out of order"] if found else []


def share_bounds_reserved_loads() -> list[str]:
    """Of 300 loads a third are reserved at most, however many are left out."""
    loads = _reserved_loads.ReservedLoads()
    left_out = [("base", f"a{number}") for number in range(1_000)]
    for name in left_out:
        loads.count_refusal(name)
    reserved = 0
    for _ in range(300):
        name = loads.next_name(left_out)
        if name is None:
            loads.count_ranked_load()
        else:
            reserved += 1
            loads.count_reserved_load()
            loads.count_grant(name)
    return [] if reserved == 100 else [f"{reserved} loads were reserved"]


def counts_are_bounded() -> list[str]:
    """The refusals of the last MAX_COUNTED adapters are remembered."""
    loads = _loads({RARE: 1})
    for number in range(_reserved_loads.MAX_COUNTED):
        loads.count_refusal(("base", f"a{number}"))
    return ["an old refusal is remembered"] if loads.refusals(RARE) else []


def refused_adapter_gets_free_slot() -> list[str]:
    """A reserved load finds the one engine with a slot among busier ones.

    Neither a slot in use nor one that requests wait for is taken.
    """
    engines = _engine_table.EngineTable()
    for number in range(30):
        info = targets.Instance(f"i-{number}", decisions.POOL, "a:1", "a")
        record = _engine_record.EngineRecord(info, decisions.SPEC)
        record.known = True
        record.models = {"base"}
        for slot in range(record.capacity):
            name = ("base", f"a{slot}" if number != 29 else f"b{slot}")
            uses = int((number, slot) != (29, 3))
            ready = _engine_record.SlotState.READY
            record.put_slot(name, _engine_record.Slot(1, ready, uses))
        engines.add(record)
    decider = _decisions.Decider(
        engines,
        placement.CopyAffinityPolicy(),
        placement.PlaceSettings(),
        lambda *_: True,
    )
    demand = _place_policy.PlacementDemand(
        decisions.POOL, RARE, 2_000, (), (), 2_000, "a", 1.0
    )
    records = engines.record_by_target.values()
    found = decider.load_now(demand, records, (), 10.0)
    kept = decider.load_now(demand, records, {("base", "b3")}, 10.0)
    expected = _decisions.Load("i-29", ("base", "b3"))
    return [] if (found, kept) == (expected, None) else [f"{found}, {kept}"]


NAMES = [("base", f"a{number}") for number in range(6)]
EVENTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(("refuse", "grant", "load")),
        strategies.sampled_from(NAMES),
    ),
    max_size=80,
)


def run_random() -> list[str]:
    """Compare random histories with counts of a simple model."""
    found: list[str] = []

    @hypothesis.settings(
        max_examples=300, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(EVENTS)
    def check(events: list) -> None:
        loads = _reserved_loads.ReservedLoads()
        refusals = dict.fromkeys(NAMES, 0)
        ranked = reserved = 0
        for what, name in events:
            if what == "refuse":
                loads.count_refusal(name)
                refusals[name] += 1
            elif what == "grant":
                loads.count_grant(name)
                refusals[name] = 0
            elif (left_out := loads.next_name(NAMES)) is not None:
                loads.count_reserved_load()
                reserved += 1
                if refusals[left_out] != max(refusals.values()):
                    found.append(f"{left_out} of {refusals}")
            else:
                loads.count_ranked_load()
                ranked += 1
        if reserved > ranked * _reserved_loads.RESERVED_PER_RANKED_LOAD:
            found.append(f"{reserved} reserved beside {ranked} loads")

    check()
    return found[:5]


SCENARIOS = {
    scenario.__name__: scenario
    for scenario in (
        most_refused_is_loaded_first,
        nothing_reserved_without_refusals,
        share_bounds_reserved_loads,
        counts_are_bounded,
        refused_adapter_gets_free_slot,
    )
}
