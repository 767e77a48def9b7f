"""The table of a process's connections to clients."""

import abc
import collections
import collections.abc
import enum

from bergamotsail.connections import _limits
from bergamotsail import wire

# Objects of an open connection.
CONNECTION_BYTES = 16 * 1024
# Objects of a request, and the part of its answer that was received from a
# target and not yet written to the client.
REQUEST_BYTES = 96 * 1024
# A connection has made progress when it took this many bytes. Fewer would
# let a client keep its place with single bytes.
PROGRESS_BYTES = 16 * 1024
# A client that takes nothing of its answer for this long may be closed for
# others. A shorter pause may be due to the network.
UNREAD_S = 2.0
# When a refused client should try again. Requests end within this time.
RETRY_AFTER_S = 0.5


class Stage(enum.StrEnum):
    """What a connection is doing.

    IDLE: nothing since the last answer, or since it was opened.
    HEAD, BODY: it receives a request.
    RUNNING: a request is being served; the client waits.
    ANSWER: the client has not taken all of the answer sent so far.
    """

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    RUNNING = "running"
    ANSWER = "answer"


class Reason(enum.StrEnum):
    """Why a connection is closed or a request is refused."""

    MEMORY = "memory"
    CONNECTIONS = "connections"
    HEAD_TIMEOUT = "head_timeout"
    IDLE_TIMEOUT = "idle_timeout"


class Owner(abc.ABC):
    """What holds the bytes of a connection."""

    @abc.abstractmethod
    def evict(self, reason: Reason) -> None:
        """Free the bytes and close the connection.

        A request that was being received gets an answer that says it has
        not run.
        """


class Connection:
    """An open connection of a client.

    Attributes:
        owner: what holds its bytes.
        charged: bytes that the table counts for it.
        stage: what it is doing; set by :meth:`enter`.
        since: when it last made progress, or entered its stage.
        active_at: when it last sent or took a byte, or entered its stage.
        trusted: whether it is from another daemon.
        closed: whether it has left the table, being closed or trusted.
    """

    __slots__ = (
        "_body",
        "_buffered",
        "_progress",
        "_request",
        "_table",
        "_timeouts",
        "_unsent",
        "active_at",
        "charged",
        "closed",
        "owner",
        "since",
        "stage",
        "trusted",
    )

    def __init__(
        self,
        table: "ConnectionTable",
        owner: Owner,
        timeouts: collections.abc.Callable[[], _limits.Timeouts],
        now: float,
    ) -> None:
        self._table = table
        self.owner = owner
        self._timeouts = timeouts
        self.stage = Stage.IDLE
        self.since = self.active_at = now
        self.trusted = False
        self.closed = False
        self.charged = 0
        self._buffered = 0
        self._request = 0
        self._body = 0
        self._unsent = 0
        self._progress = 0

    def enter(self, stage: Stage, buffered: int | None = None) -> None:
        """Enter a stage; IDLE ends a request and frees what it held.

        Args:
            buffered: bytes that were read and not yet parsed, if known.
        """
        if self.closed:
            return
        if buffered is not None:
            self._buffered = buffered
        if stage is Stage.IDLE:
            self._body = 0
            self.end_request()
        if stage is not self.stage:
            self.stage = stage
            self._table.renew(self)
        self._table.charge(self, self._cost())

    def receive(self, size: int, buffered: int) -> None:
        """Record bytes read from the connection.

        Args:
            size: bytes read.
            buffered: bytes that were read and not yet parsed.

        Raises:
            NoRoomError: the bytes don't fit.
        """
        if self.closed:
            return
        if self.stage is Stage.IDLE:
            self.enter(Stage.HEAD)
        self._buffered = buffered
        self._note_progress(size, self.stage is Stage.BODY)
        self._table.reserve(self, self._cost())

    def begin_request(self) -> None:
        """Charge a request that is to be served.

        Raises:
            NoRoomError: there is no room for it; it is not charged.
        """
        if self.closed or self._request:
            return
        self._table.reserve_request(self, self._cost() + REQUEST_BYTES)
        self._request = REQUEST_BYTES

    def end_request(self) -> None:
        """Stop charging the request."""
        if self._request:
            self._request = 0
            self._table.requests -= 1

    def add_body(self, size: int) -> None:
        """Charge bytes of a request's body.

        Raises:
            NoRoomError: they don't fit; they are not charged.
        """
        if self.closed:
            return
        self._body += size
        limit = self._table.limits.max_request_bytes
        try:
            self._table.reserve(self, self._cost(), limit)
        except wire.NoRoomError:
            self._body -= size
            raise

    def drop_body(self) -> None:
        """Stop charging the body, which is no longer held."""
        self._body = 0
        if not self.closed:
            self._table.charge(self, self._cost())

    def check_room(self, size: int) -> None:
        """Make room for an answer of this size.

        Raises:
            NoRoomError: it does not fit.
        """
        if not self.closed:
            self._table.reserve(self, self._cost() + size)
            self._table.charge(self, self._cost())

    def queue_answer(self, size: int) -> None:
        """Charge bytes of an answer that are to be sent."""
        if self.closed:
            return
        self._unsent += size
        self._table.charge(self, self._cost())

    def send(self, size: int) -> None:
        """Record bytes of the answer that the connection took."""
        if self.closed:
            return
        self._unsent -= size
        if self._unsent > 0:
            self.enter(Stage.ANSWER)
            self._note_progress(size, True)
        elif self.stage is Stage.ANSWER:
            self.enter(Stage.RUNNING)
        self._table.charge(self, self._cost())

    @property
    def max_body_bytes(self) -> int:
        """The largest body that the process has memory for."""
        return self._table.limits.max_body_bytes

    @property
    def unsent(self) -> int:
        """Bytes of the answer that the connection has yet to take."""
        return self._unsent

    def wait_to_send(self) -> None:
        """Record that the connection takes no more bytes for now."""
        if self._unsent > 0:
            self.enter(Stage.ANSWER)

    def trust(self) -> None:
        """Exempt the connection of another daemon from all limits."""
        if not self.closed:
            self._table.release(self)
            self.closed = self.trusted = True

    def close(self) -> None:
        """Release all that the connection is charged for."""
        if not self.closed:
            self._table.release(self)
            self.closed = True

    def is_evictable(self, now: float) -> bool:
        """Whether the connection may be closed for the sake of others."""
        if self.stage is Stage.ANSWER:
            return now - self.active_at >= UNREAD_S
        return self.stage is not Stage.RUNNING

    def expired(self, now: float) -> Reason | None:
        """Return which timeout of the connection has passed, if any."""
        if self.stage is Stage.RUNNING:
            return None
        if self.stage is Stage.HEAD:
            late = now - self.since > self._timeouts().head_s
            return Reason.HEAD_TIMEOUT if late else None
        late = now - self.active_at > self._timeouts().idle_s
        return Reason.IDLE_TIMEOUT if late else None

    def _note_progress(self, size: int, counts: bool) -> None:
        self.active_at = self._table.now()
        self._progress += size
        if counts and self._progress >= PROGRESS_BYTES:
            self._table.renew(self)

    def renewed(self, now: float) -> None:
        """Record progress; the table calls this."""
        self.since = self.active_at = now
        self._progress = 0

    def _cost(self) -> int:
        cost = CONNECTION_BYTES + self._request + self._buffered + self._unsent
        # A body is copied once when it is complete.
        copies = 2 if self.stage is Stage.BODY else 1
        return cost + copies * self._body


def no_room_error() -> wire.NoRoomError:
    """Return the error of a request that there is no room for."""
    return wire.NoRoomError(
        "This instance has no memory or connections left for more clients. "
        "Retry, or use another address.",
        retry_after_s=RETRY_AFTER_S,
    )


class TableObserver:
    """Receives what a table decides; this one ignores it."""

    def evicted(self, connection: Connection, reason: Reason) -> None:
        """Record a connection that is about to be closed."""

    def refused(self) -> None:
        """Record bytes or a connection that there was no room for."""


class ConnectionTable:
    """All connections of a process to its clients, and what they hold."""

    def __init__(
        self,
        limits: _limits.TableLimits,
        clock: wire.Clock,
        observer: TableObserver | None = None,
    ) -> None:
        self.limits = limits
        self._clock = clock
        self._observer = observer or TableObserver()
        self.charged_bytes = 0
        self.requests = 0
        # The one without progress for the longest time first.
        self._by_progress: collections.OrderedDict[Connection, None]
        self._by_progress = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._by_progress)

    def __iter__(self) -> collections.abc.Iterator[Connection]:
        return iter(self._by_progress)

    def now(self) -> float:
        """Return the time in seconds."""
        return self._clock.now()

    def open(
        self,
        owner: Owner,
        timeouts: collections.abc.Callable[[], _limits.Timeouts],
    ) -> Connection:
        """Add a connection.

        Args:
            timeouts: returns those in force.

        Raises:
            NoRoomError: there are too many, and none is evictable.
        """
        while len(self._by_progress) >= self.limits.max_connections:
            self._evict_first(None, Reason.CONNECTIONS)
        connection = Connection(self, owner, timeouts, self.now())
        self._by_progress[connection] = None
        try:
            self.reserve(connection, CONNECTION_BYTES)
        except wire.NoRoomError:
            self.release(connection)
            raise
        return connection

    def close_expired(self) -> int:
        """Evict the connections whose timeout has passed; return how many."""
        now = self.now()
        expired = [
            (connection, reason)
            for connection in self._by_progress
            if (reason := connection.expired(now)) is not None
        ]
        for connection, reason in expired:
            self._evict(connection, reason)
        return len(expired)

    # Called by connections.

    def reserve_request(self, connection: Connection, cost: int) -> None:
        """Charge a connection with a request, once there is room for it.

        Raises:
            NoRoomError: there are too many requests, or no room.
        """
        if self.requests >= self.limits.max_requests:
            raise self._refuse()
        self.reserve(connection, cost, self.limits.max_request_bytes)
        self.requests += 1

    def reserve(
        self, connection: Connection, cost: int, limit: int | None = None
    ) -> None:
        """Charge a connection, once there is room for it.

        Args:
            limit: of the bytes of all connections; the table's when None.

        Raises:
            NoRoomError: there is no room; the charge is as it was.
        """
        added = cost - connection.charged
        max_bytes = self.limits.max_bytes if limit is None else limit
        while added > 0 and self.charged_bytes + added > max_bytes:
            self._evict_first(connection, Reason.MEMORY)
        self.charge(connection, cost)

    def charge(self, connection: Connection, cost: int) -> None:
        """Charge a connection for bytes that it already holds."""
        if connection.closed:
            return
        self.charged_bytes += cost - connection.charged
        connection.charged = cost

    def renew(self, connection: Connection) -> None:
        """Put a connection that made progress last."""
        connection.renewed(self.now())
        if connection in self._by_progress:
            self._by_progress.move_to_end(connection)

    def release(self, connection: Connection) -> None:
        """Remove a connection and its charge."""
        self._by_progress.pop(connection, None)
        connection.end_request()
        self.charged_bytes -= connection.charged
        connection.charged = 0

    def _evict_first(self, spared: Connection | None, reason: Reason) -> None:
        """Evict the first connection that is evictable.

        Raises:
            NoRoomError: there is none but the one to spare.
        """
        now = self.now()
        for connection in self._by_progress:
            if connection is not spared and connection.is_evictable(now):
                self._evict(connection, reason)
                return
        raise self._refuse()

    def _refuse(self) -> wire.NoRoomError:
        self._observer.refused()
        return no_room_error()

    def _evict(self, connection: Connection, reason: Reason) -> None:
        self._observer.evicted(connection, reason)
        connection.close()
        connection.owner.evict(reason)
