"""Checks of the connection table, without a network."""

from unittest import mock

import hypothesis
from hypothesis import strategies

from bergamotsail import connections
from bergamotsail.connections import _table
from bergamotsail import wire

Stage = connections.Stage
KIB = 1024
MAX_BYTES = 8 * KIB * KIB
MAX_CONNECTIONS = 40
LIMITS = connections.TableLimits(MAX_BYTES, MAX_CONNECTIONS)
TIMEOUTS = connections.Timeouts(head_s=3.0, idle_s=15.0)
PIECE = 64 * KIB
SETTINGS = hypothesis.settings(
    max_examples=150, derandomize=True, deadline=None, database=None
)


class Clock(wire.Clock):
    """A clock that the checks advance."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def now(self) -> float:
        return self.now_s

    async def sleep(self, seconds: float) -> None:
        self.now_s += seconds


class Client(connections.Owner):
    """A client with its connection."""

    def __init__(self, table: connections.ConnectionTable) -> None:
        self.reason: connections.Reason | None = None
        self.connection = table.open(self, lambda: TIMEOUTS)

    def evict(self, reason: connections.Reason) -> None:
        self.reason = reason

    def begin(self) -> None:
        """Send a head, and have the request accepted."""
        self.connection.receive(200, 200)
        self.connection.enter(Stage.BODY, 0)
        self.connection.begin_request()

    def send(self, size: int) -> None:
        """Send a piece of a body."""
        self.connection.receive(size, size)
        self.connection.enter(Stage.BODY, 0)
        self.connection.add_body(size)

    def run(self) -> None:
        """Complete the request, which is then being served."""
        self.connection.enter(Stage.RUNNING)

    def answer(self, size: int) -> None:
        """Serve an answer that the client does not read."""
        self.connection.check_room(size)
        self.connection.queue_answer(size)
        self.connection.wait_to_send()

    def read(self) -> None:
        """Read the whole answer; the connection is then idle."""
        connection = self.connection
        connection.send(connection.unsent)
        connection.enter(Stage.IDLE)


def _table_with(clock: Clock) -> connections.ConnectionTable:
    return connections.ConnectionTable(LIMITS, clock)


STEPS = {
    "open": lambda client, size: None,
    "head": lambda client, size: client.connection.receive(size, size),
    "begin": lambda client, size: client.begin(),
    "piece": lambda client, size: client.send(size),
    "run": lambda client, size: client.run(),
    "answer": lambda client, size: client.answer(size),
    "read": lambda client, size: client.read(),
    "drop": lambda client, size: client.connection.drop_body(),
    "leave": lambda client, size: client.connection.close(),
}
ACTIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(sorted(STEPS)),
        strategies.integers(0, 59),
        strategies.sampled_from((1, 200, 20_000, PIECE, 700_000, 2_000_000)),
        strategies.sampled_from((0.0, 0.0, 0.0, 0.1, 0.1, 0.1, 2.5, 20.0)),
    ),
    min_size=40,
    max_size=120,
)


def check_random_use() -> list[str]:
    """The total is kept, and all is released when the clients have left."""
    faults: set[str] = set()

    @SETTINGS
    @hypothesis.given(actions=ACTIONS)
    def use(actions) -> None:
        clock = Clock()
        table = _table_with(clock)
        clients: list[Client] = []
        for name, number, size, pause_s in actions:
            clock.now_s += pause_s
            table.close_expired()
            try:
                if name == "open" or not clients:
                    clients.append(Client(table))
                else:
                    STEPS[name](clients[number % len(clients)], size)
            except wire.NoRoomError:
                pass
            faults.update(_bound_faults(table, clients))
        for client in clients:
            client.connection.close()
        if table.charged_bytes or len(table) or table.requests:
            faults.add("charges remain after the last client has left")

    use()
    return sorted(faults)


def _bound_faults(
    table: connections.ConnectionTable, clients: list[Client]
) -> set[str]:
    faults = set()
    if table.charged_bytes > MAX_BYTES:
        faults.add("more bytes are charged than allowed")
    if len(table) > MAX_CONNECTIONS:
        faults.add("more connections are open than allowed")
    held = sum(client.connection.charged for client in clients)
    if held != table.charged_bytes:
        faults.add("the sum is not that of the connections")
    for client in clients:
        if client.reason and client.connection.stage is Stage.RUNNING:
            faults.add("a request that was being served was closed")
    return faults


def check_bodies() -> list[str]:
    """Bodies that arrive side by side stay within the total."""
    clock = Clock()
    table = _table_with(clock)
    clients = [Client(table) for _ in range(MAX_CONNECTIONS // 2)]
    faults: set[str] = set()
    for client in clients:
        client.begin()
    for _ in range(10):
        for client in clients:
            clock.now_s += 0.001
            if client.reason is None:
                client.send(PIECE)
            faults |= _bound_faults(table, clients)
    return sorted(faults)


def check_honest_among_silent() -> list[str]:
    """A body gets through, however many clients have stopped sending."""
    faults: set[str] = set()

    @SETTINGS
    @hypothesis.given(
        silent=strategies.lists(
            strategies.integers(0, 40), min_size=1, max_size=60
        ),
        pieces=strategies.integers(1, LIMITS.max_body_bytes // PIECE // 4),
    )
    def serve(silent: list[int], pieces: int) -> None:
        clock = Clock()
        table = _table_with(clock)
        for count in silent:
            _stop_short(Client(table), count)
            clock.now_s += 0.01
        try:
            client = Client(table)
            client.begin()
            for number in range(pieces):
                clock.now_s += 0.01
                _stop_short(Client(table), silent[number % len(silent)])
                client.send(PIECE)
            client.run()
        except wire.NoRoomError:
            faults.add("the body was refused")
            return
        if client.reason is not None:
            faults.add("the sender was closed")

    serve()
    return sorted(faults)


def _stop_short(client: Client, pieces: int) -> None:
    try:
        client.begin()
        for _ in range(pieces):
            client.send(PIECE)
    except wire.NoRoomError:
        client.connection.close()


def check_single_bytes() -> list[str]:
    """Who sends single bytes is evicted before who sends a body quickly."""
    clock = Clock()
    table = _table_with(clock)
    slow, quick = Client(table), Client(table)
    slow.begin()
    quick.begin()
    for _ in range(20):
        clock.now_s += 0.1
        quick.send(PIECE)
        slow.send(1)
    _fill(table, clock, lambda: slow.reason is not None)
    if quick.reason is not None:
        return ["the quick sender was evicted"]
    return [] if slow.reason is not None else ["the slow sender stayed"]


def _fill(table: connections.ConnectionTable, clock: Clock, until) -> None:
    """Let further clients send, until they need the room of others."""
    for _ in range(MAX_CONNECTIONS):
        client = Client(table)
        client.begin()
        for _ in range(20):
            if until():
                return
            clock.now_s += 0.001
            client.send(PIECE // 2)


def check_calm() -> list[str]:
    """Without need of room nobody is closed before a timeout."""
    clock = Clock()
    table = _table_with(clock)
    idle, slow, largest, running = (Client(table) for _ in range(4))
    running.begin()
    running.run()
    slow.begin()
    largest.begin()
    left = LIMITS.max_body_bytes // 2
    largest.send(left)
    for _ in range(5):
        clock.now_s += TIMEOUTS.idle_s * 0.8
        slow.send(1)
        idle.connection.receive(10, 10)
        idle.connection.enter(Stage.BODY, 0)
        idle.connection.enter(Stage.RUNNING)
        idle.connection.enter(Stage.IDLE)
        largest.send(1)
        table.close_expired()
    closed = [c.reason for c in (idle, slow, largest, running) if c.reason]
    return [f"closed for {reason}" for reason in closed]


def check_timeouts() -> list[str]:
    """Each timeout closes the connections that it is for, and no others."""
    clock = Clock()
    table = _table_with(clock)
    names = ("idle", "head", "body", "unread", "running", "trusted")
    by_name = {name: Client(table) for name in names}
    by_name["head"].connection.receive(1, 1)
    by_name["trusted"].connection.trust()
    for name in ("body", "unread", "running"):
        by_name[name].begin()
    for name in ("unread", "running"):
        by_name[name].run()
    by_name["unread"].answer(PIECE)
    closed_at: dict[str, float] = {}
    for _ in range(40):
        clock.now_s += 0.5
        # Bytes of a head don't extend its time.
        by_name["head"].connection.receive(1, 1)
        table.close_expired()
        for name, client in by_name.items():
            if client.reason is not None:
                closed_at.setdefault(name, clock.now_s)
    due = {"head": 3.5, "idle": 15.5, "body": 15.5, "unread": 15.5}
    return [] if closed_at == due else [f"closed at {closed_at}"]


def check_running() -> list[str]:
    """Requests that are being served stay; others are told when to retry."""
    limits = connections.TableLimits(MAX_BYTES, 10 * MAX_CONNECTIONS)
    table = connections.ConnectionTable(limits, Clock())
    running = []
    refusal = wire.NoRoomError("", ran=wire.RunStatus.UNKNOWN)
    for size in (8 * PIECE, PIECE, KIB, 1):
        try:
            for _ in range(MAX_CONNECTIONS):
                client = Client(table)
                client.begin()
                client.send(size)
                client.run()
                running.append(client)
        except wire.NoRoomError as error:
            refusal = error
            client.connection.close()
    faults = []
    if any(client.reason for client in running):
        faults.append("a request that was being served was closed")
    if refusal.status != 503 or not refusal.retry_after_s:
        faults.append(f"refused with {refusal.status}")
    if refusal.ran is not wire.RunStatus.NOT_RUN:
        faults.append("the refusal does not say that nothing has run")
    return faults + _connect_fault(table)


def check_many_requests() -> list[str]:
    """Small requests, too, leave room to connect."""
    table = connections.ConnectionTable(
        connections.TableLimits(100 * MAX_BYTES, MAX_CONNECTIONS), Clock()
    )
    try:
        for _ in range(2 * MAX_CONNECTIONS):
            client = Client(table)
            client.begin()
            client.run()
    except wire.NoRoomError:
        return _connect_fault(table)
    return ["no request was refused"]


def _connect_fault(table: connections.ConnectionTable) -> list[str]:
    """Return a fault if others can't connect and send a head."""
    others = []
    try:
        for _ in range(4):
            others.append(Client(table))
            others[-1].connection.receive(20_000, 20_000)
    except wire.NoRoomError:
        return ["nobody can connect"]
    closed = sum(client.reason is not None for client in others)
    return [f"{closed} of 4 others are closed"] if closed else []


def check_unread() -> list[str]:
    """An unread answer is evicted only when it is not read for some time."""
    clock = Clock()
    table = _table_with(clock)
    unread = Client(table)
    unread.begin()
    unread.run()
    unread.answer(MAX_BYTES // 2)
    clock.now_s += 1.0
    faults = []
    try:
        _fill(table, clock, lambda: unread.reason is not None)
    except wire.NoRoomError:
        pass
    if unread.reason is not None:
        faults.append("it was closed after 1 s")
    clock.now_s += 1.5
    try:
        _fill(table, clock, lambda: unread.reason is not None)
    except wire.NoRoomError:
        pass
    if unread.reason is None:
        faults.append("it was not closed after 2.5 s")
    return faults


def check_trusted() -> list[str]:
    """Connections of other daemons are neither charged nor closed."""
    clock = Clock()
    table = _table_with(clock)
    trusted = [Client(table) for _ in range(MAX_CONNECTIONS)]
    for client in trusted:
        client.connection.trust()
        client.connection.receive(PIECE, PIECE)
    clock.now_s += 3600.0
    table.close_expired()
    others = [Client(table) for _ in range(MAX_CONNECTIONS + 5)]
    faults = []
    if any(client.reason for client in trusted):
        faults.append("a trusted connection was closed")
    if sum(client.reason is not None for client in others) != 5:
        faults.append("trusted connections are counted")
    return faults


def check_process_limits() -> list[str]:
    """The limits leave the memory and descriptors that others need."""
    faults = []
    for memory_mb, max_fds in ((200, 4100), (296, 4096), (300, 4100)):
        limits = connections.TableLimits.of_process(
            memory_mb * 1_000_000, max_fds
        )
        kernel = limits.max_connections * connections.RECEIVE_BUFFER_BYTES
        if limits.max_bytes + kernel > memory_mb * 1_000_000 / 2:
            faults.append(f"{memory_mb} MB: more than half is for clients")
        if limits.max_connections > (max_fds - 200) / 2:
            faults.append(f"{max_fds} descriptors: too many connections")
        if limits.max_body_bytes < 4 * KIB * KIB:
            faults.append(f"{memory_mb} MB: no room for a body of 4 MiB")
    return faults


CHECKS = {
    name.removeprefix("check_"): check
    for name, check in list(globals().items())
    if name.startswith("check_")
}

# Each mutant switches off a guard: its name, the check that must fail, and
# the arguments of mock.patch.object.
MUTANTS = (
    (
        "spare requests that are being served",
        "running",
        (_table.Connection, "is_evictable", lambda connection, now: True),
    ),
    (
        "keep the total",
        "bodies",
        (
            _table.ConnectionTable,
            "reserve",
            lambda table, connection, cost, limit=None: table.charge(
                connection, cost
            ),
        ),
    ),
    (
        "leave room to connect",
        "running",
        (connections.TableLimits, "max_request_bytes", MAX_BYTES),
    ),
    (
        "leave connections to others",
        "many_requests",
        (connections.TableLimits, "max_requests", MAX_CONNECTIONS),
    ),
    (
        "release what a connection was charged for",
        "random_use",
        (
            _table.ConnectionTable,
            "release",
            lambda table, connection: table._by_progress.pop(connection, None),
        ),
    ),
    (
        "close who has made no progress first",
        "honest_among_silent",
        (_table.ConnectionTable, "renew", lambda table, connection: None),
    ),
    (
        "count single bytes as no progress",
        "single_bytes",
        (_table, "PROGRESS_BYTES", 1),
    ),
    (
        "leave a client time to read its answer",
        "unread",
        (_table, "UNREAD_S", 0.0),
    ),
    (
        "exempt other daemons",
        "trusted",
        (_table.Connection, "trust", lambda connection: None),
    ),
    (
        "end a head in time",
        "timeouts",
        (_table.Connection, "expired", lambda connection, now: None),
    ),
)


def run_mutant(number: int) -> list[str]:
    """Run the check of a mutant with its guard switched off."""
    _, check, guard = MUTANTS[number]
    with mock.patch.object(*guard):
        return CHECKS[check]()
