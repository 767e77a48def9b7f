"""The two process roles of a deployment with a route table.

A *replica* stores the replicated log. While it leads, or holds a group of
engines, it places requests and sends orders (load and evict commands) to its
engines. An *entry* is a
stateless gateway: it accepts callers' requests and forwards them directly
to targets. Both discover the other processes through the addresses of the
replicas.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses

from absl import logging
from tornado import web

from bergamotsail import catalogue
from bergamotsail import connections
from bergamotsail import control
from bergamotsail.daemon import _bounded_body
from bergamotsail.daemon import _client_server
from bergamotsail.daemon import _peer_endpoint
from bergamotsail.daemon import _process_monitor
from bergamotsail import limits
from bergamotsail import observe
from bergamotsail import placement
from bergamotsail import quorum
from bergamotsail import routing
from bergamotsail import targets
from bergamotsail import wire

DISK_FAILURE_POLL_S = 1.0
STOP_POLL_S = 0.05
MAX_LEADER_SILENCE_S = 2.5
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
    """Settings common to both roles.

    Args:
        address: peer address, where other daemons reach this one.
        seeds: peer addresses of some replicas.
        peer_token: shared secret that authenticates daemons to each other.
        initial_order_delay_s: how long a new leader waits before its
            first order; 0 where engines check fencing tokens.
        order_lease_s: how old this process's last order must be before it
            gives orders again, if another process may have given orders
            since.
        places: settings of the placement decisions.
        tolerated_failures: number of simultaneous replica failures to
            tolerate, including loss of their disks while all other replicas
            lose power: acknowledged entries survive, and the log stays
            writable.
        domain: failure domain of this process; its data centre when None.
        budget_slack: units by which the budget of a member may be exceeded.
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
    budget_slack: float = 0.0

    @property
    def voters(self) -> int:
        """Number of voters, so that a majority survives *tolerated_failures*.

        It does not depend on the number of seeds: if only three seeds
        voted, losing two disks would leave the log without a majority
        permanently. At least one failure is always tolerated.
        """
        return 2 * max(self.tolerated_failures, 1) + 1


def make_counting_transport(
    http: wire.CurlClient, token: str, metrics: observe.Metrics
) -> wire.HttpPeerTransport:
    """Return a peer transport that counts the bytes of each call."""

    def count_call(name: str, sent: int, received: int) -> None:
        """Count an outgoing call, separately from incoming calls."""
        kind = f"call {name}"
        observe.count_message(metrics, kind, received=received, sent=sent)

    return wire.HttpPeerTransport(http, token, count_call)


class _NodeLeadership(placement.Leadership):
    """Leadership of the log, based on its leader lease."""

    def __init__(self, node: quorum.Node) -> None:
        self._node = node

    @property
    def term(self) -> int:
        return self._node.term

    def holds(self) -> bool:
        return self._node.holds_lease()

    def refusal(self) -> wire.ServingError:
        return self._node.not_leader()


class _NodeLog(placement.GroupLog):
    """The log as the engine groups see it."""

    def __init__(
        self,
        settings: RoleSettings,
        node: quorum.Node,
        machine: catalogue.CatalogueMachine,
    ) -> None:
        self._settings = settings
        self._node = node
        self._machine = machine

    @property
    def name(self) -> str:
        return self._settings.name

    @property
    def address(self) -> str:
        return self._settings.address

    @property
    def term(self) -> int:
        return self._node.term

    def holds(self) -> bool:
        return self._node.holds_lease()

    def refusal(self) -> wire.ServingError:
        return self._node.not_leader()

    def leader_address(self) -> str:
        node = self._node
        if node.leader is None or not node.has_leader_contact:
            raise node.not_leader()
        return node.leader.address

    def answering(self) -> dict[str, str]:
        return {
            member.name: member.address
            for member in self._node.answering_followers()
        }

    def former_holder(self, group: str) -> str:
        former = self._machine.former_holders(group)
        return former[-1] if former else ""

    @property
    def holders(self) -> int:
        # The leader has the sessions, so it holds no group if all others run.
        return self._settings.voters - 1

    def former_groups(self) -> int:
        return self._machine.order_groups()


async def _propose(node: quorum.Node, command: catalogue.Command) -> object:
    """Commit a command.

    Raises:
        TimeoutError: it was not committed within PROPOSE_TIMEOUT_S; the
            outcome is unknown.
    """
    async with asyncio.timeout(PROPOSE_TIMEOUT_S):
        return await node.propose(wire.encode(command))


class _Committer:
    """Commits commands of this replica, also while another one leads."""

    def __init__(
        self,
        node: quorum.Node,
        log: _NodeLog,
        transport: wire.PeerTransport,
    ) -> None:
        self._node = node
        self._log = log
        self._transport = transport

    async def commit(self, command: catalogue.Command) -> bool:
        """Commit a command; return whether the state machine took it.

        Raises:
            ServingError: it is unknown whether it was committed.
            TimeoutError: likewise.
        """
        if self._node.holds_lease():
            return bool(await _propose(self._node, command))
        reply = await self._transport.call(
            self._log.leader_address(),
            control.COMMAND,
            control.CommandRequest(command, relayed=True),
            PROPOSE_TIMEOUT_S,
        )
        return bool(reply.done)


class _LogCopyRegistry(placement.CopyRegistry):
    """Persists adapter copies in the log, so that the next leader has them."""

    def __init__(
        self, committer: _Committer, machine: catalogue.CatalogueMachine
    ) -> None:
        self._committer = committer
        self._machine = machine

    def names(self, target: str) -> tuple[str, ...]:
        return self._machine.copies_by_target.get(target, ())

    async def note(self, note: catalogue.NoteCopies) -> None:
        await self._committer.commit(catalogue.Command(note_copies=note))


class _LogHolderRegistry(placement.HolderRegistry):
    """Persists in the log which instances gave orders to a group."""

    def __init__(
        self,
        name: str,
        group: str,
        committer: _Committer,
        machine: catalogue.CatalogueMachine,
    ) -> None:
        self._name = name
        self._group = group
        self._committer = committer
        self._machine = machine

    @property
    def name(self) -> str:
        return self._name

    def former(self) -> tuple[str, ...]:
        return self._machine.former_holders(self._group)

    async def note(self, fence: int, alone: bool) -> None:
        take = catalogue.TakeOrders(self._name, fence, alone, self._group)
        if not await self._committer.commit(
            catalogue.Command(take_orders=take)
        ):
            raise wire.ConflictError(
                "Another replica gives orders to these engines since. Wait "
                "for the next lease."
            )


class _PlacerParts:
    """Makes the placers of engine groups.

    Args:
        started_at: when this process started.
    """

    def __init__(
        self,
        settings: RoleSettings,
        machine: catalogue.CatalogueMachine,
        make_engine: collections.abc.Callable[
            [targets.Instance], targets.AdapterEngine
        ],
        metrics: observe.Metrics,
        clock: wire.Clock,
        committer: _Committer,
        rates: control.TargetRates,
        started_at: float,
    ) -> None:
        self._settings = settings
        self._machine = machine
        self._make_engine = make_engine
        self._metrics = metrics
        self._clock = clock
        self._committer = committer
        self._rates = rates
        self._started_at = started_at
        self._tenures: list[placement.Tenure] = []

    def make(
        self,
        group: str,
        leadership: placement.Leadership,
        debits: placement.Debits,
        streams: control.StreamTable,
    ) -> placement.Placer:
        """Return the placer of a group of engines."""
        places = self._settings.places
        return placement.Placer(
            leadership,
            lambda: self._machine.view,
            self._make_engine,
            placement.CopyAffinityPolicy(
                store_price_s=places.store_price_s,
                other_datacentre_s=places.other_datacentre_s,
            ),
            self._metrics,
            self._clock,
            _LogCopyRegistry(self._committer, self._machine),
            settings=places,
            holder_registry=_LogHolderRegistry(
                self._settings.name, group, self._committer, self._machine
            ),
            tenure=self._make_tenure(),
            streams=streams,
            rates=self._rates,
            debits=debits,
            group=group,
        )

    def _make_tenure(self) -> placement.Tenure:
        """Return the tenure of a group that this process has not held.

        It may have ordered the same engines in a group of another number.
        """
        ordered_at = max(
            (tenure.ordered_at(self._clock.now()) for tenure in self._tenures),
            default=self._started_at,
        )
        tenure = placement.Tenure(
            self._settings.order_lease_s,
            ordered_at,
            self._settings.initial_order_delay_s,
        )
        self._tenures.append(tenure)
        return tenure


class Replica:
    """A replica of the log; an async context manager that runs it.

    Args:
        make_engine: returns a client of the engine of a listed target.
        forms: bootstrap the log with the seeds; true only at the first
            start of a deployment.
        list_interval_s: how often the list of targets is read.
        started_at: when this process started, on *clock*.
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
        self.lag = _peer_endpoint.LoopLag(clock)
        self.metrics = metrics or observe.Metrics()
        self.process_monitor = _process_monitor.ProcessMonitor(
            self.lag, self.metrics, clock
        )
        self.peer_address = settings.address
        self.peer_endpoint = _peer_endpoint.PeerEndpoint(
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
        self.node.observer = self.process_monitor
        budgets = limits.LeaderBudgets(
            limits.BudgetSettings(
                settings.budget_slack, settings.lease.alone_after_s
            )
        )
        streams = control.StreamTable(clock)
        rates = control.TargetRates()
        leadership = _NodeLeadership(self.node)
        log = _NodeLog(settings, self.node, self.machine)
        debits = placement.LeaderDebits(
            leadership, lambda: self.machine.view, budgets, self.metrics, clock
        )
        self._placer_parts = _PlacerParts(
            settings,
            self.machine,
            make_engine,
            self.metrics,
            clock,
            _Committer(self.node, log, transport),
            rates,
            clock.now() if started_at is None else started_at,
        )
        self.groups = placement.EngineGroups(
            log,
            transport,
            self._placer_parts.make,
            lambda: self.machine.view,
            debits,
            streams,
            rates,
            lambda term, version: self.coordinator.digest_delta(term, version),
            self.lag.mean_s,
            clock,
        )
        # The placer of all engines while they form a single group.
        self.placer = self.groups.placer()
        self.coordinator = control.Coordinator(
            settings.address,
            self.node,
            self.machine,
            instances,
            transport,
            settings.lease,
            list_interval_s,
            clock=clock,
            use_tracker=self.groups,
            metrics=self.metrics,
            budgets=budgets,
            streams=streams,
            rates=rates,
        )
        self.copies = control.StreamCopies(
            settings.address, self.node, streams, transport, clock
        )
        self.gatherer = placement.CallGatherer(
            transport,
            self._leader_address,
            lambda: len(self.node.config.members) - 1,
            clock,
        )
        self._exchange = placement.CallExchange(
            self.groups.on_place,
            self.groups.on_release,
            self.coordinator.on_heartbeat,
            leadership,
            self.metrics,
            clock,
        )
        self.node.serve(self.server)
        self.coordinator.serve(self.server)
        self.copies.serve(self.server)
        self.groups.serve(self.server)
        self._serve_gathered()
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "Replica":
        components = (
            self.lag,
            self.process_monitor,
            self.node,
            self.coordinator,
            self.copies,
            self.groups,
            self.gatherer,
        )
        for component in components:
            await self._stack.enter_async_context(component)
        return self

    async def __aexit__(self, *_: object) -> None:
        self._exchange.stop()
        await self._stack.aclose()

    def _serve_gathered(self) -> None:
        """Register the calls that every replica answers."""
        self.server.serve(
            placement.PLACE_INDIRECT, self._on_place, placement.PLACE_SHED_S
        )
        self.server.serve(
            placement.RELEASE_INDIRECT,
            self._on_release,
            placement.RELEASE_SHED_S,
        )
        self.server.serve(
            control.HEARTBEAT_INDIRECT,
            self._on_heartbeat,
            control.HEARTBEAT_SHED_S,
        )
        self.server.serve(
            placement.EXCHANGE,
            self._exchange.on_exchange,
            control.HEARTBEAT_SHED_S,
        )

    async def _on_heartbeat(
        self, request: control.Heartbeat
    ) -> control.HeartbeatReply:
        """Renew a session, through the leader unless this replica leads."""
        if self.node.holds_lease():
            return await self.coordinator.on_heartbeat(request)
        return await self.gatherer.heartbeat(request)

    async def _on_place(
        self, request: placement.PlaceRequest
    ) -> placement.PlaceReply:
        """Place a request, through the leader unless this replica leads."""
        if self.node.holds_lease():
            return await self.groups.on_place(request)
        return await self.gatherer.place(request)

    async def _on_release(
        self, request: placement.ReleaseRequest
    ) -> placement.Released:
        """Release requests, through the leader unless this one leads."""
        if self.node.holds_lease():
            return await self.groups.on_release(request)
        return await self.gatherer.release(request)

    def _leader_address(self) -> str:
        """Return the address of the leader.

        Raises:
            NotLeaderError: this replica hears no leader.
        """
        if self.node.leader is None or not self.node.has_leader_contact:
            raise self.node.not_leader()
        return self.node.leader.address

    async def hand_over(self) -> None:
        """Give up engines and the lead, before a planned stop."""
        await self.groups.give_up()
        await self.node.transfer()

    async def wait_failed(self) -> None:
        """Wait until the disk fails; the process must then restart."""
        while self.node.role is not quorum.Role.FAILED:
            await asyncio.sleep(DISK_FAILURE_POLL_S)
        logging.error("replica: Disk failure: %s", self.node.error)

    async def replace_routes(
        self, table: catalogue.RouteTable, document: str
    ) -> catalogue.VersionReply:
        """Replace the route table; returns once the change is durable.

        A version that is not newer than the current one changes nothing.

        Raises:
            NotLeaderError: this replica does not lead.
            UnknownOutcomeError: the change may or may not be committed; it
                is safe to retry.
            TimeoutError: likewise.
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
        """Set a named version of an adapter.

        Raises the same errors as :meth:`replace_routes`.
        """
        return await self._propose(catalogue.Command(name_version=name))

    async def read_routes(self) -> str | None:
        """Return the latest routes document, None when there is none.

        The read is linearizable.

        Raises:
            NotLeaderError: this replica could not confirm that it leads.
        """
        await self.node.confirm_leadership(CONFIRM_TIMEOUT_S)
        return self.machine.routes_document

    async def _propose(
        self, command: catalogue.Command
    ) -> catalogue.VersionReply:
        return await _propose(self.node, command)


class _EntryParticipant(control.PassiveParticipant):
    """Reports an entry's uses of targets and receives view changes."""

    def __init__(
        self,
        placements: routing.PlacementClient,
        on_change: collections.abc.Callable[[], None],
    ) -> None:
        self._placements = placements
        self._on_change = on_change

    def uses(self) -> tuple[control.Use, ...]:
        return self._placements.uses()

    def view_changed(self) -> None:
        self._on_change()


@dataclasses.dataclass(frozen=True, slots=True)
class ResendBudgetSettings:
    """Budget for resending requests, shared by all daemons.

    Args:
        ratio: resends allowed for each request in the budget's window.
        slack: resends allowed in addition, independent of the load.
    """

    ratio: float = 0.1
    slack: float = 10.0


class EntryPoint:
    """An entry: forwards callers' requests to targets.

    An async context manager that runs its background tasks.

    Args:
        caller_address: where callers reach this daemon.
        make_engine: returns a client of a target's engine, to ask which
            adapters it holds while there is no leader.
    """

    def __init__(
        self,
        settings: RoleSettings,
        caller_address: str,
        http: wire.CurlClient,
        transport: wire.PeerTransport,
        dialect: routing.Dialect,
        budget: ResendBudgetSettings,
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
        self.lag = _peer_endpoint.LoopLag(clock)
        self.peer_address = settings.address
        self.peer_endpoint = _peer_endpoint.PeerEndpoint(
            self.server, settings.peer_token, self.lag, self.metrics
        )
        self.leader = control.LeaderClient(transport, settings.seeds)
        self.process_monitor = _process_monitor.ProcessMonitor(
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
            control.FIND_STREAM,
            control.COVER_AGE,
            control.MOVE_STREAM,
        )

        def fetch_report(
            info: control.TargetInfo,
        ) -> collections.abc.Awaitable[targets.AdapterReport]:
            """Fetch the engine report of a target."""
            instance = targets.Instance(
                info.id, info.pool, info.address, info.datacentre
            )
            return make_engine(instance).report()

        survey = routing.Survey(fetch_report, wire.make_rng(settings.name))
        self._placements = routing.PlacementClient(
            self.session, transport, clock, survey
        )
        self.session.attach(
            _EntryParticipant(self._placements, self._apply_limits)
        )
        self._listener: _client_server.Listener | None = None
        self._address = caller_address
        reach = routing.Reach(clock)
        self._relay = routing.RelayService(
            self.session,
            http,
            reach,
            dialect,
            lambda: self.accepting,
            clock,
        )
        self._relay.serve(self.server)
        client = routing.TargetClient(
            self.session,
            http,
            transport,
            reach,
            wire.make_rng(settings.name),
            clock,
        )
        self.forwarder = routing.Forwarder(
            self.session,
            self._placements,
            routing.ServiceBalancer(
                settings.datacentre, wire.make_rng(settings.name), clock
            ),
            routing.ResendBudgets(
                budget.ratio,
                budget.slack,
                lambda: len(self.session.daemon_by_boot),
                clock,
            ),
            client,
            dialect,
            self.metrics,
            settings.datacentre,
            clock,
        )
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "EntryPoint":
        await self._stack.enter_async_context(self.lag)
        await self._stack.enter_async_context(self.process_monitor)
        await self._stack.enter_async_context(self._placements)
        await self._stack.enter_async_context(self.session)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._stack.aclose()

    def listen(
        self,
        clients: _client_server.ClientListeners,
        application: web.Application,
        address: str,
    ) -> _client_server.Listener:
        """Serve callers; the limits of the route table apply."""
        self._listener = clients.listen(
            application, address, self._listener_limits()
        )
        return self._listener

    @property
    def max_body_bytes(self) -> int:
        """The limit of a body; without routes no request is served."""
        table = self.session.view.routes.table
        if table.version == 0:
            return _bounded_body.BODY_BYTES
        return table.limits.max_body_bytes

    def _listener_limits(self) -> _client_server.ListenerLimits:
        limits = self.session.view.routes.table.limits
        return _client_server.ListenerLimits(
            # The handlers limit bodies, to send a response.
            _bounded_body.SERVER_BODY_BYTES,
            max(limits.max_header_bytes, _client_server.MAX_HEADER_BYTES),
            connections.Timeouts(
                limits.header_timeout_s, limits.idle_timeout_s
            ),
        )

    def _apply_limits(self) -> None:
        """Apply the limits of the current route table."""
        if self._listener is not None:
            self._listener.change_limits(self._listener_limits())

    @property
    def active(self) -> int:
        """Requests in progress, also those relayed for other entries."""
        return self.forwarder.active + self._relay.active

    @property
    def ready(self) -> bool:
        """Whether load balancers should route callers to this instance."""
        has_routes = self.session.view.routes.table.version > 0
        return has_routes and not self.stopping and not self._has_lost_leader()

    def _has_lost_leader(self) -> bool:
        """Whether the last acknowledged heartbeat is too old.

        MAX_LEADER_SILENCE_S is longer than an election takes.
        """
        return self.session.silent_s() > MAX_LEADER_SILENCE_S

    def addresses(self, datacentre: str) -> list[str]:
        """Return the addresses of entries for callers in a data centre.

        This instance comes first, then entries of the data centre, then the
        others. This instance is left out while it stops, and while it has
        no contact with the leader but knows other entries. If it knows no
        other entry, the result is always its own address.
        """
        known = [
            info
            for info in self.session.daemon_by_boot.values()
            if not info.leaving and info.address != self._address
        ]
        known.sort(key=lambda info: info.datacentre != datacentre)
        excluded = self.stopping or (known and self._has_lost_leader())
        own = [] if excluded else [self._address]
        found = own + [info.address for info in known]
        return found or [self._address]

    async def stop(self, lookup_ttl_s: float, timeout_s: float) -> None:
        """Announce the shutdown, then drain requests.

        Requests are accepted until the lookup results that callers cache
        have expired.

        Args:
            lookup_ttl_s: how long callers cache a lookup result.
            timeout_s: return after this long in total, even if requests are
                still active.
        """
        logging.info("stop: Announcing shutdown.")
        self.stopping = True
        self.session.set_leaving()
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        await asyncio.sleep(lookup_ttl_s)
        self.accepting = False
        while loop.time() < started_at + timeout_s:
            if self.active == 0:
                break
            await asyncio.sleep(STOP_POLL_S)
        logging.info(
            "stop: Finished draining; %d requests are still active.",
            self.active,
        )
