"""Crowds of clients that don't behave, and what they cost a process.

A crowd opens its connections, sends what its kind says, leaves them open and
reads nothing. Meanwhile the memory and descriptors of the attacked process
are sampled. Crowds and bounds don't depend on the speed of the machine.
"""

import collections.abc
import contextlib
import dataclasses
import os
import pathlib
import selectors
import socket
import time

KIB = 1024
MIB = 1024 * KIB
# Limits that the tests give the process and the callers.
MAX_BODY_BYTES = 4 * MIB
MEMORY_MB = 150
MAX_FDS = 500
# Descriptors that the platform reserves for files.
RESERVED_FDS = 200
# A crowd is at rest when none of its connections took bytes for this long.
REST_S = 0.5
MAX_PUMP_S = 120.0
SAMPLE_INTERVAL_S = 0.05
SEND_BYTES = 64 * KIB
# Small, so that answers which are not read stay with the process.
RECEIVE_BUFFER_BYTES = 4 * KIB
ESTABLISHED, CLOSE_WAIT = "01", "08"

# A piece that closes the connection.
LEAVE = b""

Pieces = collections.abc.Iterator[bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class Opening:
    """How a request to a listener begins: its method, path and headers."""

    method: str
    path: str
    headers: tuple[str, ...] = ()

    def head(self, *added: str) -> bytes:
        """Return the head of a request with added header lines."""
        lines = (
            f"{self.method} {self.path} HTTP/1.1",
            "Host: shop.example",
            *self.headers,
            *added,
        )
        return "\r\n".join((*lines, "", "")).encode()


def _chunk(size: int) -> bytes:
    return f"{size:x}\r\n".encode() + b"p" * size + b"\r\n"


def _large_chunks(opening: Opening) -> Pieces:
    yield opening.head("Transfer-Encoding: chunked")
    for _ in range(MAX_BODY_BYTES // SEND_BYTES - 1):
        yield _chunk(SEND_BYTES)


def _small_chunks(opening: Opening) -> Pieces:
    yield opening.head("Transfer-Encoding: chunked")
    for _ in range(20):
        yield _chunk(2) * 1000


def _slow_small_chunks(opening: Opening) -> Pieces:
    yield opening.head("Transfer-Encoding: chunked")
    for _ in range(2000):
        yield _chunk(2)


def _short_of_length(opening: Opening) -> Pieces:
    yield opening.head(f"Content-Length: {MAX_BODY_BYTES}")
    for _ in range(MAX_BODY_BYTES // SEND_BYTES - 1):
        yield b"p" * SEND_BYTES
    yield b"p" * (SEND_BYTES - 1)


def _announced_over_limit(opening: Opening) -> Pieces:
    yield opening.head(f"Content-Length: {15 * MIB}")
    for _ in range(8 * MIB // SEND_BYTES):
        yield b"p" * SEND_BYTES


def _sent_over_limit(opening: Opening) -> Pieces:
    yield opening.head("Transfer-Encoding: chunked")
    for _ in range(8 * MIB // SEND_BYTES):
        yield _chunk(SEND_BYTES)


def _sent_ahead(opening: Opening) -> Pieces:
    get = dataclasses.replace(opening, method="GET")
    for _ in range(2 * MIB // (8 * KIB)):
        yield get.head(*(f"X-{n}: " + "y" * 1000 for n in range(8)))


def _bodies_sent_ahead(opening: Opening) -> Pieces:
    for _ in range(8):
        yield opening.head(f"Content-Length: {MIB}")
        for _ in range(MIB // SEND_BYTES):
            yield b"p" * SEND_BYTES


def _unread_answer(opening: Opening) -> Pieces:
    yield dataclasses.replace(opening, method="GET").head()


def _endless_head(opening: Opening) -> Pieces:
    yield opening.head().removesuffix(b"\r\n")
    for number in range(60):
        yield f"X-{number}: ".encode() + b"y" * 980 + b"\r\n"


def _left_early(opening: Opening) -> Pieces:
    yield from _short_of_length(opening)
    yield LEAVE


def _silent(_: Opening) -> Pieces:
    yield from ()


BODIES_COUNT = 40
CONNECTIONS_COUNT = 300
ANSWERS_COUNT = 150
KINDS: dict[str, tuple[int, collections.abc.Callable[[Opening], Pieces]]] = {
    "large_chunks": (BODIES_COUNT, _large_chunks),
    "small_chunks": (BODIES_COUNT, _small_chunks),
    "slow_small_chunks": (BODIES_COUNT, _slow_small_chunks),
    "short_of_length": (BODIES_COUNT, _short_of_length),
    "announced_over_limit": (BODIES_COUNT, _announced_over_limit),
    "sent_over_limit": (BODIES_COUNT, _sent_over_limit),
    "left_early": (BODIES_COUNT, _left_early),
    "sent_ahead": (BODIES_COUNT, _sent_ahead),
    "bodies_sent_ahead": (BODIES_COUNT, _bodies_sent_ahead),
    "unread_answers": (ANSWERS_COUNT, _unread_answer),
    "endless_heads": (CONNECTIONS_COUNT, _endless_head),
    "silent": (CONNECTIONS_COUNT, _silent),
}
# The part of each kind's crowd that takes part in a crowd of all kinds.
MIXED_SHARE = 4
MIXED = "all_kinds"


def members_of(kind: str, opening: Opening) -> list[Pieces]:
    """Return what each connection of a crowd sends."""
    if kind != MIXED:
        count, make = KINDS[kind]
        return [make(opening) for _ in range(count)]
    return [
        make(opening)
        for count, make in KINDS.values()
        for _ in range(count // MIXED_SHARE)
    ]


class Watch:
    """Samples the memory and descriptors of a process.

    Args:
        host: bytes that the kernel holds unread on connections to this
            address count as memory.
        port: likewise, and only to this port; None means any.
    """

    def __init__(self, pid: int, host: str, port: int | None = None) -> None:
        self.pid = pid
        self.peak_mb = 0.0
        self.peak_fds = 0
        self._local = _hex_address(host, port)
        self._next_at = 0.0

    def sample(self) -> None:
        """Take a sample, unless the last one was taken just now."""
        if time.monotonic() < self._next_at:
            return
        self._next_at = time.monotonic() + SAMPLE_INTERVAL_S
        with contextlib.suppress(FileNotFoundError, ProcessLookupError):
            used_mb = (self._anonymous_bytes() + self._unread_bytes()) / 1e6
            self.peak_mb = max(self.peak_mb, used_mb)
            fds = len(os.listdir(f"/proc/{self.pid}/fd"))
            self.peak_fds = max(self.peak_fds, fds)

    def _anonymous_bytes(self) -> int:
        text = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        for line in text.splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) * KIB
        return 0

    def _unread_bytes(self) -> int:
        found = 0
        with open("/proc/net/tcp") as lines:
            for line in lines:
                fields = line.split()
                if fields[1].startswith(self._local) and fields[3] in (
                    ESTABLISHED,
                    CLOSE_WAIT,
                ):
                    found += int(fields[4].partition(":")[2], 16)
        return found

    def faults(self) -> list[str]:
        """Return the bounds that were exceeded."""
        found = []
        if self.peak_mb > MEMORY_MB:
            found.append(f"memory: {self.peak_mb:.0f} of {MEMORY_MB} MB")
        max_fds = MAX_FDS - RESERVED_FDS
        if self.peak_fds > max_fds:
            found.append(f"descriptors: {self.peak_fds} of {max_fds}")
        return found


def _hex_address(host: str, port: int | None) -> str:
    """Return an address as /proc/net/tcp writes it, or its beginning."""
    packed = socket.inet_aton(host)[::-1].hex().upper()
    return packed + ":" + ("" if port is None else f"{port:04X}")


class Crowd:
    """The open connections of a crowd; a context manager."""

    def __init__(
        self, address: str, members: list[Pieces], watch: Watch
    ) -> None:
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._members = members
        self._watch = watch
        self._stack = contextlib.ExitStack()
        self._selector = self._stack.enter_context(selectors.DefaultSelector())
        # What a connection has still to send of its current piece.
        self._rest_by_socket: dict[socket.socket, memoryview] = {}
        self.opened = 0
        self.sent_bytes = 0

    def __enter__(self) -> "Crowd":
        return self

    def __exit__(self, *_: object) -> None:
        self._stack.close()

    def press(self) -> None:
        """Open the connections, and send until they are at rest."""
        for pieces in self._members:
            self._open(pieces)
        rested_at = time.monotonic() + REST_S
        ends_at = time.monotonic() + MAX_PUMP_S
        while time.monotonic() < min(rested_at, ends_at):
            self._watch.sample()
            if self._pump():
                rested_at = time.monotonic() + REST_S

    def hold(self, check: collections.abc.Callable[[], None]) -> None:
        """Run a check while the connections are open."""
        self._watch.sample()
        check()
        self._watch.sample()

    def _open(self, pieces: Pieces) -> None:
        sock = self._stack.enter_context(socket.socket())
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(10)
        with contextlib.suppress(OSError):
            sock.connect(self._address)
            sock.setblocking(False)
            self.opened += 1
            self._rest_by_socket[sock] = memoryview(b"")
            self._selector.register(sock, selectors.EVENT_WRITE, pieces)

    def _pump(self) -> bool:
        """Send a piece on each ready connection; return whether any was."""
        progressed = False
        for key, _ in self._selector.select(SAMPLE_INTERVAL_S):
            progressed |= self._send(key.fileobj, key.data)
        return progressed

    def _send(self, sock: socket.socket, pieces: Pieces) -> bool:
        rest = self._rest_by_socket[sock]
        left = False
        if not rest:
            piece = next(pieces, None)
            left = piece == LEAVE
            rest = memoryview(piece or b"")
        if not rest:
            self._selector.unregister(sock)
            if left:
                sock.close()
            return False
        try:
            sent = sock.send(rest)
        except BlockingIOError:
            sent = 0
        except OSError:
            self._selector.unregister(sock)
            return False
        self._rest_by_socket[sock] = rest[sent:]
        self.sent_bytes += sent
        return sent > 0


def log_faults(text: str) -> list[str]:
    """Return a fault with the first exception in a log that was logged."""
    before, marker, after = text.partition("Traceback")
    if not marker:
        return []
    return [f"an exception was not handled: {before[-300:]}{after[:2000]}"]
