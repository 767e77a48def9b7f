"""Checks how much the kernel holds unread for a client."""

import asyncio
import contextlib
import fcntl
import itertools
import socket
import struct
import termios
import time

from tornado import httputil

from bergamotsail import connections
from bergamotsail import daemon
from bergamotsail import observe

SEND_S = 1.5
HEAD = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


class _Silent(httputil.HTTPServerConnectionDelegate):
    """An application that answers nothing."""

    def __init__(self) -> None:
        self.streams: list = []

    def start_request(self, server_conn, request_conn):
        self.streams.append(request_conn.stream)
        return httputil.HTTPMessageDelegate()


def _unread_bytes(fd: int) -> int:
    return struct.unpack("i", fcntl.ioctl(fd, termios.FIONREAD, b"\0" * 4))[0]


def _send(address: tuple[str, int], piece_bytes: int) -> socket.socket:
    """Send a request, and then bytes until the kernel takes no more."""
    sock = socket.create_connection(address)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.sendall(HEAD)
    sock.setblocking(False)
    ends_at = time.monotonic() + SEND_S
    while time.monotonic() < ends_at:
        try:
            sock.send(b"p" * piece_bytes)
        except BlockingIOError:
            time.sleep(0.01)
    return sock


async def _measure(piece_bytes: int, for_daemons: bool) -> int:
    limits = daemon.ProcessLimits(100, 500)
    clients = daemon.ClientListeners(limits, observe.Metrics())
    silent = _Silent()
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        address = free.getsockname()
    listener = clients.listen(
        silent,
        f"{address[0]}:{address[1]}",
        daemon.ListenerLimits(for_daemons=for_daemons),
    )
    with contextlib.closing(
        await asyncio.to_thread(_send, address, piece_bytes)
    ):
        (stream,) = silent.streams[:1]
        found = _unread_bytes(stream.fileno())
    listener.stop()
    return found


def check_unread() -> list[str]:
    """The kernel holds no more than the limits of a process leave for it."""
    faults = []
    for piece_bytes, for_daemons in itertools.product(
        (1, 1400, 65536), (False, True)
    ):
        found = asyncio.run(_measure(piece_bytes, for_daemons))
        if not 0 < found <= connections.RECEIVE_BUFFER_BYTES:
            faults.append(f"{found} bytes unread in pieces of {piece_bytes}")
    return faults
