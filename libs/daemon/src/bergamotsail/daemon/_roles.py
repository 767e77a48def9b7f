"""The two kinds of process of a deployment with routes.

A *replica* keeps the log and, while it leads, gives the orders to all
engines. An *entry* has no disk; it takes callers' requests and sends them
straight to targets. Both know each other through the replicas' addresses.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses

from absl import logging
from tornado import web

from bergamotsail import catalogue
from bergamotsail import control
from bergamotsail.daemon import _peer_face
from bergamotsail.daemon import _quiet
from bergamotsail.daemon import _vitals
from bergamotsail import observe
from bergamotsail import placement
from bergamotsail import quorum
from bergamotsail import routing
from bergamotsail import targets
from bergamotsail import wire

FAILED_WAIT_S = 1.0
STOP_POLL_S = 0.05
CUT_OFF_S = 2.5
CONFIRM_TIMEOUT_S = 0.8
PROPOSE_TIMEOUT_S = 3.0
REPLICA_TIMING = quorum.Timing(
    election_s=0.5,
    heartbeat_s=0.1,
    call_s=0.5,
    snapshot_entries=300,
    election_spread=1.8,
)


@dataclasses.dataclass(frozen=True, slots=True)
class RoleSettings:
    """What both kinds of process are told.

    Args:
        address: where other daemons reach this one.
        seeds: addresses of some replicas.
        peer_token: the shared secret of all daemons.
        initial_order_delay_s: a new leader gives no orders for so long; 0 where
            engines check fencing numbers.
        order_lease_s: who gave orders before another did gives none until
            its own last one is so old.
        places: how the holder of the orders decides.
        tolerated_failures: how many replicas may be lost at once, also with
            their disks while all others lose power: what was acknowledged
            is kept then, and the log goes on.
        domain: what may be lost as a whole with this process; its data
            centre when None.
    """

    name: str
    address: str
    datacentre: str
    seeds: tuple[str, ...]
    peer_token: str
    lease: control.LeaseTiming
    consensus: quorum.Timing = quorum.Timing()
    initial_order_delay_s: float = 0.0
    order_lease_s: float = 3.0
    places: placement.PlaceSettings = placement.PlaceSettings()
    tolerated_failures: int = 1
    domain: str | None = None

    @property
    def voters(self) -> int:
        """How many replicas vote, so that a majority outlives the losses.

        With the seeds for a measure, a loss of two of three disks would
        end the log for good. One loss is always borne.
        """
        return 2 * max(self.tolerated_failures, 1) + 1


def make_counting_transport(
    http: wire.CurlClient, token: str, metrics: observe.Metrics
) -> wire.HttpPeerTransport:
    """Return the way to other daemons, with its bytes counted by call."""

    def called(name: str, sent: int, received: int) -> None:
        """Count a call of this process, apart from those it answers."""
        kind = f"call {name}"
        observe.count_message(metrics, kind, received=received, sent=sent)

    return wire.HttpPeerTransport(http, token, called)


class MetricsHandler(web.RequestHandler):
    """Counters and histograms as text, and what was not written to logs."""

    def initialize(self, metrics: observe.Metrics) -> None:
        """Take what the application gives."""
        self._metrics = metrics

    def get(self) -> None:
        """Return one line for each figure."""
        self.set_header("Content-Type", "text/plain")
        text = observe.as_text(self._metrics.snapshot())
        self.finish(f"{text}log_lines_dropped {observe.lines_dropped()}\n")


def metrics_application(metrics: observe.Metrics) -> web.Application:
    """Return an application that shows the metrics of this process."""
    routes = [(r"/metrics", MetricsHandler, {"metrics": metrics})]
    return _quiet.application_without_access_log(routes)


class _NodeLeadership(placement.Leadership):
    """Leadership of the log, as the holder of orders asks for it."""

    def __init__(self, node: quorum.Node) -> None:
        self._node = node

    @property
    def term(self) -> int:
        return self._node.term

    def holds(self) -> bool:
        return self._node.holds_lease()

    def refusal(self) -> wire.ServingError:
        return self._node.not_leader()


async def _propose(node: quorum.Node, command: catalogue.Command) -> object:
    """Commit a command within a bounded time."""
    async with asyncio.timeout(PROPOSE_TIMEOUT_S):
        return await node.propose(wire.encode(command))


class _LogNotes(placement.CopyRegistry):
    """Remembers copies in the log, so that the next leader knows them."""

    def __init__(
        self, node: quorum.Node, machine: catalogue.CatalogueMachine
    ) -> None:
        self._node = node
        self._machine = machine

    def names(self, target: str) -> tuple[str, ...]:
        return self._machine.copies_by_target.get(target, ())

    async def note(self, note: catalogue.NoteCopies) -> None:
        await _propose(self._node, catalogue.Command(note_copies=note))


class _LogHolders(placement.HolderRegistry):
    """Remembers in the log who gave orders to engines."""

    def __init__(
        self,
        name: str,
        node: quorum.Node,
        machine: catalogue.CatalogueMachine,
    ) -> None:
        self._name = name
        self._node = node
        self._machine = machine

    @property
    def name(self) -> str:
        return self._name

    def former(self) -> tuple[str, ...]:
        return self._machine.order_holders

    async def note(self, fence: int, alone: bool) -> None:
        take = catalogue.TakeOrders(self._name, fence, alone)
        await _propose(self._node, catalogue.Command(take_orders=take))


class Replica:
    """A replica of the log; an async context manager.

    Args:
        forms: at the very first start, form the log with the seeds.
        make_engine: gives the engine of a listed target.
        started_at: when this process started, on the clock.
    """

    def __init__(
        self,
        settings: RoleSettings,
        transport: wire.PeerTransport,
        disk: quorum.Disk,
        instances: targets.InstanceList,
        make_engine: collections.abc.Callable[
            [targets.Instance], targets.AdapterEngine
        ],
        forms: bool,
        list_interval_s: float,
        clock: wire.Clock,
        started_at: float | None = None,
        metrics: observe.Metrics | None = None,
    ) -> None:
        self.server = wire.PeerServer()
        self.lag = _peer_face.LoopLag(clock)
        self.metrics = metrics or observe.Metrics()
        self.vitals = _vitals.ProcessMonitor(self.lag, self.metrics, clock)
        self.peer_endpoint = _peer_face.PeerEndpoint(
            self.server, settings.peer_token, self.lag, self.metrics
        )
        self.machine = catalogue.CatalogueMachine()
        self.node = quorum.Node(
            settings.name,
            settings.address,
            settings.seeds,
            quorum.Storage(disk),
            transport,
            self.machine,
            wire.make_rng(settings.name),
            settings.consensus,
            clock,
            forms=forms,
            max_voters=settings.voters,
            started_at=started_at,
            domain=(
                settings.datacentre
                if settings.domain is None
                else settings.domain
            ),
        )
        self.node.election_observer = self.vitals
        self.placer = placement.Placer(
            _NodeLeadership(self.node),
            lambda: self.machine.view,
            make_engine,
            placement.CopyAffinityPolicy(
                store_price_s=settings.places.store_price_s,
                other_datacentre_s=settings.places.other_datacentre_s,
            ),
            self.metrics,
            clock,
            _LogNotes(self.node, self.machine),
            settings=settings.places,
            holder_notes=_LogHolders(settings.name, self.node, self.machine),
            tenure=placement.Tenure(
                settings.order_lease_s,
                clock.now() if started_at is None else started_at,
                settings.initial_order_delay_s,
            ),
        )
        self.coordinator = control.Coordinator(
            settings.address,
            self.node,
            self.machine,
            instances,
            transport,
            settings.lease,
            list_interval_s,
            clock=clock,
            use_keeper=self.placer,
            metrics=self.metrics,
        )
        self.node.serve(self.server)
        self.coordinator.serve(self.server)
        self.placer.serve(self.server)
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "Replica":
        parts = self.lag, self.vitals, self.node, self.coordinator, self.placer
        for part in parts:
            await self._stack.enter_async_context(part)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._stack.aclose()

    async def failed(self) -> None:
        """Return when the disk failed, so that a new start reads it."""
        while self.node.role is not quorum.Role.FAILED:
            await asyncio.sleep(FAILED_WAIT_S)
        logging.error("replica: The disk failed. %s", self.node.error)

    async def replace_routes(
        self, table: catalogue.RouteTable, document: str
    ) -> catalogue.VersionReply:
        """Put a table of routes in force; returns once it is durable.

        Raises:
            NotLeaderError: ask the leader.
            UnknownOutcomeError: send it again.
        """
        current = self.machine.view.routes.table.version
        if table.version <= current and self.node.is_leader:
            await self.node.confirm_leadership(CONFIRM_TIMEOUT_S)
            return catalogue.VersionReply(current, False)
        replace = catalogue.ReplaceRoutes(table, document)
        return await self._propose(catalogue.Command(replace_routes=replace))

    async def name_version(
        self, name: catalogue.NameVersion
    ) -> catalogue.VersionReply:
        """Name a version of an adapter; raises as ``replace_routes``."""
        return await self._propose(catalogue.Command(name_version=name))

    async def read_routes(self) -> str | None:
        """Return the newest document of routes, None when there is none.

        Raises:
            NotLeaderError: this replica can't be sure which is newest.
        """
        await self.node.confirm_leadership(CONFIRM_TIMEOUT_S)
        return self.machine.routes_document

    async def _propose(
        self, command: catalogue.Command
    ) -> catalogue.VersionReply:
        return await _propose(self.node, command)


class _EntryParticipant(control.PassiveParticipant):
    """What the session of an entry says and hears."""

    def __init__(
        self,
        places: routing.PlacementClient,
        changed: collections.abc.Callable[[], None],
    ) -> None:
        self._places = places
        self._changed = changed

    def uses(self) -> tuple[control.Use, ...]:
        return self._places.uses()

    def view_changed(self) -> None:
        self._changed()


@dataclasses.dataclass(frozen=True, slots=True)
class ResendBudgetSettings:
    """How often requests may be sent a second time, over all daemons."""

    ratio: float = 0.1
    slack: float = 10.0


class EntryPoint:
    """An entry of callers' requests; an async context manager.

    Args:
        caller_address: where callers reach this daemon.
        changed: called when routes may have changed.
        make_engine: gives the engine of a target, to be asked what it
            holds while nobody leads.
    """

    def __init__(
        self,
        settings: RoleSettings,
        caller_address: str,
        http: wire.CurlClient,
        transport: wire.PeerTransport,
        dialect: routing.Dialect,
        budget: ResendBudgetSettings,
        changed: collections.abc.Callable[[], None],
        make_engine: collections.abc.Callable[
            [targets.Instance], targets.AdapterEngine
        ],
        clock: wire.Clock,
        metrics: observe.Metrics | None = None,
    ) -> None:
        self.metrics = metrics or observe.Metrics()
        self.stopping = False
        self.accepting = True
        boot = f"{settings.name}#{wire.fresh_token(settings.name)}"
        info = control.DaemonInfo(
            settings.name,
            boot,
            caller_address,
            settings.datacentre,
            peer_address=settings.address,
        )
        self.server = wire.PeerServer()
        self.lag = _peer_face.LoopLag(clock)
        self.peer_endpoint = _peer_face.PeerEndpoint(
            self.server, settings.peer_token, self.lag, self.metrics
        )
        self.leader = control.Leader(transport, settings.seeds)
        self.vitals = _vitals.ProcessMonitor(
            self.lag, self.metrics, clock, role="entry"
        )
        self.session = control.Session(
            info, self.leader, transport, settings.lease, clock=clock
        )
        relay = control.Relay(self.session, transport)
        relay.serve(
            self.server,
            control.HEARTBEAT,
            placement.PLACE,
            placement.RELEASE,
        )

        def ask(
            info: control.TargetInfo,
        ) -> collections.abc.Awaitable[targets.AdapterReport]:
            """Get the report of a target."""
            instance = targets.Instance(
                info.id, info.pool, info.address, info.datacentre
            )
            return make_engine(instance).report()

        survey = routing.Survey(ask, wire.make_rng(settings.name))
        self._places = routing.PlacementClient(
            self.session, transport, clock, survey
        )
        self.session.attach(_EntryParticipant(self._places, changed))
        self._address = caller_address
        self.forwarder = routing.Forwarder(
            self.session,
            self._places,
            routing.ServiceBalancer(
                settings.datacentre, wire.make_rng(settings.name), clock
            ),
            routing.ResendBudgets(
                budget.ratio,
                budget.slack,
                lambda: len(self.session.daemon_by_boot),
                clock,
            ),
            http,
            dialect,
            self.metrics,
            settings.datacentre,
            clock,
        )
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "EntryPoint":
        await self._stack.enter_async_context(self.lag)
        await self._stack.enter_async_context(self.vitals)
        await self._stack.enter_async_context(self._places)
        await self._stack.enter_async_context(self.session)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._stack.aclose()

    @property
    def ready(self) -> bool:
        """Whether callers should be sent here."""
        has_routes = self.session.view.routes.table.version > 0
        return has_routes and not self.stopping and not self._cut_off()

    def _cut_off(self) -> bool:
        """Whether the leader was silent for longer than an election."""
        return self.session.silent_s() > CUT_OFF_S

    def addresses(self, datacentre: str) -> list[str]:
        """Return where callers of a data centre may connect.

        Those of the data centre come first. When nothing is known, this
        instance is all there is.
        """
        known = [
            info
            for info in self.session.daemon_by_boot.values()
            if not info.leaving and info.address != self._address
        ]
        known.sort(key=lambda info: info.datacentre != datacentre)
        away = self.stopping or (known and self._cut_off())
        mine = [] if away else [self._address]
        found = mine + [info.address for info in known]
        return found or [self._address]

    async def stop(self, kept_s: float, finish_s: float) -> None:
        """Leave the look-ups, serve while callers keep old answers, end.

        Args:
            kept_s: how long callers keep an answer.
            finish_s: after this long, end whatever still runs.
        """
        logging.info("stop: Leaving the look-ups.")
        self.stopping = True
        self.session.set_leaving()
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        await asyncio.sleep(kept_s)
        self.accepting = False
        while loop.time() < started_at + finish_s:
            if self.forwarder.active == 0:
                break
            await asyncio.sleep(STOP_POLL_S)
        logging.info("stop: Done. active=%d", self.forwarder.active)
