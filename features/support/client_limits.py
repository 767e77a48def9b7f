"""What clients within the limits get of a daemon, and what others are told."""

import contextlib
import http.client
import json
import socket
import time

from features.support import clients
from features.support import crowd

ROLE = "entry"
PAUSE_S = 0.2
OPENING = clients.OPENING_BY_LISTENER["calls"]


def _connect(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)), clients.TIMEOUT_S)


def _read(sock: socket.socket) -> tuple[int, dict[str, str], bytes]:
    reply = http.client.HTTPResponse(sock)
    reply.begin()
    return reply.status, dict(reply.getheaders()), reply.read()


def largest_body_is_served(address: str) -> None:
    """A body of exactly the limit is served, and one byte more is not."""
    for added, expected in ((0, 200), (1, 413)):
        size = crowd.MAX_BODY_BYTES + added
        with _connect(address) as sock:
            sock.sendall(OPENING.head(f"Content-Length: {size}"))
            sock.sendall(b"p" * size)
            status, _, body = _read(sock)
        assert status == expected, (status, body[:200])


def slow_sender_is_served(address: str) -> None:
    """A body that comes in single bytes, with pauses, is served in calm."""
    with _connect(address) as sock:
        sock.sendall(OPENING.head("Content-Length: 10"))
        for _ in range(10):
            time.sleep(PAUSE_S)
            sock.sendall(b"p")
        status, _, body = _read(sock)
    assert status == 200, (status, body[:200])


def refused_body_keeps_promise(address: str) -> None:
    """Bodies that there is no room for are refused, and have not run."""
    size = crowd.MAX_BODY_BYTES
    refused = []
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(_connect(address)) for _ in range(30)]
        for sock in socks:
            with contextlib.suppress(OSError):
                sock.sendall(OPENING.head(f"Content-Length: {size}"))
                sock.sendall(b"p" * (size - 1))
        for sock in socks:
            with contextlib.suppress(OSError, http.client.HTTPException):
                sock.settimeout(PAUSE_S)
                refused.append(_read(sock))
    assert refused
    for status, headers, body in refused:
        error = json.loads(body)["error"]
        assert status == 503, status
        assert float(headers["Retry-After"]) > 0, headers
        assert (error["code"], error["ran"]) == ("no_room", "not_run"), error


SCENARIOS = {
    function.__name__: function
    for function in (
        largest_body_is_served,
        slow_sender_is_served,
        refused_body_keeps_promise,
    )
}
