"""Builds one daemon from its components and runs its lifecycle."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import random
import time
import uuid

from absl import logging

from bergamotsail import catalogue
from bergamotsail import control
from bergamotsail import observe
from bergamotsail import placement
from bergamotsail import quorum
from bergamotsail import routing
from bergamotsail import settings as settings_lib
from bergamotsail import targets
from bergamotsail import wire

STOP_POLL_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """External dependencies of a daemon, replaceable in tests.

    Args:
        make_engine: returns a client of the engine at an address.
        make_service: returns a client of the plain service at an address.
        disk: storage of the data folder; None on a daemon that keeps no
            replica of the log.
        wall_s: wall clock in seconds, used only to age idempotency keys.
    """

    transport: wire.PeerTransport
    make_engine: collections.abc.Callable[[str], targets.Engine]
    make_service: collections.abc.Callable[[str], targets.Service]
    instances: targets.InstanceList
    disk: quorum.Disk | None
    rng: random.Random = dataclasses.field(default_factory=random.Random)
    clock: wire.Clock = dataclasses.field(default_factory=wire.LoopClock)
    steps: wire.FaultInjector = dataclasses.field(
        default_factory=wire.NoFaultInjector
    )
    wall_s: collections.abc.Callable[[], float] = time.time


class _Participant(control.Participant):
    """Forwards callbacks of the session to admission and target owners."""

    def __init__(
        self, admission: routing.Admission, owners: placement.Owners
    ) -> None:
        self._admission = admission
        self._owners = owners

    def held_by_key(self) -> dict[str, int]:
        return self._admission.held_by_key()

    def wanted_by_key(self) -> dict[str, int]:
        return self._admission.wanted_by_key()

    def declare_run_bound(self) -> float:
        return self._admission.declare_run_bound()

    def confirm_run_bound(self) -> None:
        self._admission.confirm_run_bound()

    def take_shares(self, share_by_key: dict[str, int]) -> None:
        self._admission.take_shares(share_by_key)

    def statuses(self) -> tuple[control.TargetStatus, ...]:
        return self._owners.statuses()

    def hand_over(self, names: tuple[str, ...]) -> None:
        self._owners.hand_over(names)

    def view_changed(self) -> None:
        self._owners.view_changed()


class Daemon:
    """The components of one ``bergamotsaild`` process.

    An async context manager that runs their background tasks.
    """

    def __init__(
        self, settings: settings_lib.DaemonSettings, dependencies: Dependencies
    ) -> None:
        self.settings = settings
        self.server = wire.PeerServer()
        self.metrics = observe.Metrics()
        self.stopping = False
        self.accepting = True
        self._dependencies = dependencies
        self._stack = contextlib.AsyncExitStack()
        self._shutdown_task: asyncio.Task | None = None
        self._stop_requested = asyncio.Event()
        self.node: quorum.Node | None = None
        self.machine: catalogue.CatalogueMachine | None = None
        self._coordinator: control.Coordinator | None = None
        lease = control.LeaseTiming(
            **dataclasses.asdict(settings.lease),
        )
        if dependencies.disk is not None:
            self._make_replica(dependencies.disk, lease)
        self._make_entry(lease)

    def _make_replica(
        self, disk: quorum.Disk, lease: control.LeaseTiming
    ) -> None:
        settings = self.settings
        dependencies = self._dependencies
        self.machine = catalogue.CatalogueMachine()
        consensus = settings.consensus
        timing = quorum.Timing(
            consensus.election_s,
            consensus.heartbeat_s,
            consensus.call_s,
            settings.lease.drift,
            consensus.snapshot_entries,
            snapshot_log_bytes=consensus.snapshot_log_bytes,
        )
        self.node = quorum.Node(
            settings.name,
            settings.address,
            settings.replicas,
            quorum.Storage(disk),
            dependencies.transport,
            self.machine,
            dependencies.rng,
            timing,
            dependencies.clock,
            dependencies.steps,
        )
        self._coordinator = control.Coordinator(
            settings.address,
            self.node,
            self.machine,
            dependencies.instances,
            dependencies.transport,
            lease,
            settings.list_interval_s,
            control.FloorRaiser(
                settings.claim_retention_s, dependencies.wall_s
            ),
            dependencies.clock,
            dependencies.steps,
        )
        self.node.serve(self.server)
        self._coordinator.serve(self.server)

    def _make_entry(self, lease: control.LeaseTiming) -> None:
        settings = self.settings
        dependencies = self._dependencies
        self.leader = control.LeaderClient(
            dependencies.transport, settings.replicas
        )
        boot = (
            f"{settings.name}#"
            f"{uuid.UUID(int=dependencies.rng.getrandbits(128))}"
        )
        info = control.DaemonInfo(
            settings.name, boot, settings.address, settings.datacentre
        )
        self.session = control.Session(
            info,
            self.leader,
            dependencies.transport,
            lease,
            self.node,
            self.machine,
            dependencies.clock,
            dependencies.steps,
        )
        self.admission = routing.Admission(
            lambda: self.session.view,
            self.session.check_fresh,
            self.session.kick,
            routing.AdmissionSettings(
                **dataclasses.asdict(settings.admission),
                usual_run_bound_s=settings.http.default_deadline_s
                + lease.lease_s,
            ),
            dependencies.clock,
        )
        self.owners = placement.Owners(
            self.session,
            dependencies.make_engine,
            placement.PlacementSettings(
                **dataclasses.asdict(settings.placement)
            ),
            self.metrics,
            dependencies.clock,
            dependencies.steps,
        )
        self.owners.serve(self.server)
        self.session.attach(_Participant(self.admission, self.owners))
        if self._coordinator is not None:
            self._coordinator.attach(self.session.digest)
        self.completions = routing.CompletionRouter(
            self.session,
            self.admission,
            self.owners,
            dependencies.transport,
            routing.make_routing(settings.routing),
            self.metrics,
            dependencies.clock,
        )
        self.services = routing.ServiceRouter(
            self.session,
            self.admission,
            dependencies.make_service,
            self.metrics,
            dependencies.clock,
            dependencies.steps,
            dependencies.wall_s,
        )
        self.address_lookup = routing.AddressLookup(
            self.session, settings.answer_keep_s
        )

    async def __aenter__(self) -> "Daemon":
        components = (self.node, self._coordinator, self.owners, self.session)
        for component in components:
            if component is not None:
                await self._stack.enter_async_context(component)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._stack.aclose()

    def check_accepting(self) -> None:
        """Raise when a graceful shutdown no longer admits requests.

        Raises:
            StoppingError: with the address of another instance, if known.
        """
        if self.accepting:
            return
        answer = self.address_lookup.look_up(self.settings.name)
        raise wire.StoppingError(
            "This instance is stopping. Use another address.",
            retry_after_s=0.5,
            use=answer.addresses[0] if answer.addresses else None,
        )

    async def stop(self) -> None:
        """Shut down gracefully; concurrent calls wait for the same shutdown.

        Requests get ``stop.finish_s`` to finish once no new ones are
        admitted.
        """
        self.request_stop()
        await asyncio.shield(self._shutdown_task)

    def request_stop(self) -> None:
        """Start a graceful shutdown unless one has started."""
        if self._shutdown_task is None:
            self._shutdown_task = asyncio.create_task(self._stop())
        self._stop_requested.set()

    async def wait_stopped(self) -> None:
        """Wait until a graceful shutdown is requested and completes."""
        await self._stop_requested.wait()
        await self.stop()

    async def _stop(self) -> None:
        """Hand over targets, drain requests, transfer leadership."""
        clock = self._dependencies.clock
        logging.info("stop: Announcing shutdown and handing over targets.")
        self.stopping = True
        self.session.set_leaving()
        started_at = clock.now()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.settings.stop.finish_s):
                await self.owners.hand_over_all()
        # Callers may use a cached lookup result for this long, so requests
        # are admitted until it has expired.
        lookup_ttl_s = (
            self.settings.answer_keep_s + self.settings.lease.heartbeat_s
        )
        await clock.sleep(max(0.0, started_at + lookup_ttl_s - clock.now()))
        self.accepting = False
        logging.info("stop: Refusing new requests, draining active ones.")
        deadline = clock.now() + self.settings.stop.finish_s
        while self._has_active_requests() and clock.now() < deadline:
            await clock.sleep(STOP_POLL_S)
        await self.services.wait_settled()
        if self.node is not None:
            await self.node.transfer()
        logging.info("stop: Shutdown complete.")

    def _has_active_requests(self) -> bool:
        return self.admission.active > 0 or self.owners.active() > 0
