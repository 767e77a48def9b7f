"""Scenarios of the admission of one daemon, in virtual time."""

import asyncio
import collections.abc
import contextlib

from bergamotsail import catalogue
from bergamotsail import routing
from bergamotsail import wire
from features.support import world

MEMBER = "tahi"
KEY = f"concurrency/member/{MEMBER}"
DEADLINE_S = 10.0


class Lease:
    """A lease that a scenario ends and renews."""

    def __init__(self) -> None:
        self.valid = True

    def check(self) -> None:
        """Raise unless the lease is valid."""
        if not self.valid:
            raise wire.LeaseLostError("The lease has expired.")


def _view(concurrency: int) -> catalogue.View:
    member = catalogue.Member(
        catalogue.hash_token("token"),
        catalogue.Limits(concurrency=concurrency),
    )
    value = wire.encode(member).decode()
    view = catalogue.View()
    view.apply(catalogue.Effect(1, catalogue.Kind.MEMBER, MEMBER, value))
    return view


def _admission(lease: Lease, max_wait_s: float) -> routing.Admission:
    """Return an admission that may use the whole limit of 1."""
    view = _view(concurrency=1)
    admission = routing.Admission(
        lambda: view,
        lease.check,
        lambda: None,
        routing.AdmissionSettings(max_wait_s=max_wait_s),
    )
    admission.declare_run_bound()
    admission.confirm_run_bound()
    return admission


async def _hold(admission: routing.Admission, seconds: float) -> None:
    async with _enter(admission):
        await asyncio.sleep(seconds)


def _enter(
    admission: routing.Admission,
) -> contextlib.AbstractAsyncContextManager:
    return admission.enter(
        MEMBER, catalogue.Kind.ADAPTER, "adapter", DEADLINE_S
    )


async def _fill(admission: routing.Admission, seconds: float) -> asyncio.Task:
    """Start a request that holds the only unit."""
    task = asyncio.create_task(_hold(admission, seconds))
    await asyncio.sleep(0.001)
    admission.take_shares({KEY: 1})
    await asyncio.sleep(0.05)
    return task


async def admitted_as_wait_ends() -> list[str]:
    """A unit that is freed as a wait ends is not lost.

    Guards against a request that is admitted in the turn of the event loop
    in which its wait times out, is refused, and keeps its unit for ever.
    """
    faults = []
    admission = _admission(Lease(), max_wait_s=1.0)
    first = await _fill(admission, 60.0)
    waiting = asyncio.create_task(_hold(admission, 0.1))
    await asyncio.sleep(0.0)
    loop = asyncio.get_running_loop()
    # Just before the wait times out, and within the same turn.
    loop.call_at(loop.time() + 1.0 - 1e-9, admission.take_shares, {KEY: 2})
    await asyncio.gather(waiting, return_exceptions=True)
    await asyncio.sleep(0.5)
    if admission.used_by_key()[KEY] != 1:
        faults.append(f"admission: units in use: {admission.used_by_key()}")
    first.cancel()
    await asyncio.gather(first, return_exceptions=True)
    return faults


async def waiting_over_an_election() -> list[str]:
    """A queued request is admitted by the next lease, and not before.

    Guards against refusing it as soon as the lease ends, although a new
    leader renews the lease a moment later.
    """
    faults = []
    lease = Lease()
    admission = _admission(lease, max_wait_s=DEADLINE_S)
    first = await _fill(admission, 0.3)
    waiting = asyncio.create_task(_hold(admission, 0.5))
    await asyncio.sleep(0.1)
    lease.valid = False
    await asyncio.sleep(0.4)
    if not first.done() or admission.used_by_key()[KEY] != 0:
        faults.append("admission: a request was admitted without a lease")
    lease.valid = True
    await asyncio.sleep(0.1)
    if waiting.done() or admission.used_by_key()[KEY] != 1:
        faults.append("admission: the request was not admitted")
    await asyncio.gather(first, waiting, return_exceptions=True)
    return faults


async def waiting_without_a_lease() -> list[str]:
    """A queued request is refused once the lease stays expired."""
    lease = Lease()
    admission = _admission(lease, max_wait_s=DEADLINE_S)
    first = await _fill(admission, 60.0)
    waiting = asyncio.create_task(_hold(admission, 0.5))
    await asyncio.sleep(0.1)
    lease.valid = False
    await asyncio.sleep(0.6)
    error = waiting.exception() if waiting.done() else None
    first.cancel()
    if isinstance(error, wire.LeaseLostError):
        return []
    return [f"admission: expected a refusal, got {error!r}"]


Scenario = collections.abc.Callable[
    [], collections.abc.Coroutine[None, None, list[str]]
]
SCENARIO_BY_NAME: dict[str, Scenario] = {
    scenario.__name__: scenario
    for scenario in (
        admitted_as_wait_ends,
        waiting_over_an_election,
        waiting_without_a_lease,
    )
}


def run_scenario(name: str) -> list[str]:
    """Run a scenario in virtual time; return the broken guarantees."""
    return world.run_virtual(SCENARIO_BY_NAME[name]())
