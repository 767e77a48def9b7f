"""Limits of a connection table."""

import dataclasses

# Share of a process's memory that is charged to clients. As much again is
# left for what the kernel receives for them.
CLIENT_SHARE = 0.25
# What the kernel holds unread of a client at most, which is part of the memory
# of the process. It follows from the receive buffer that is asked for: Linux
# doubles that, and takes the segment that crosses the end.
RECEIVE_BUFFER_BYTES = 80 * 1024
ASKED_RECEIVE_BUFFER_BYTES = 32 * 1024
# Descriptors that are left to files.
FILE_FDS = 200
# Descriptors of listeners, of connections to other daemons and of idle ones
# to targets.
OWN_FDS = 128
# A client's connection, and one to the target that serves its request.
FDS_PER_CLIENT = 2
MIN_CONNECTIONS = 16
# Requests that are being served are never evicted. They may not take the last
# part of the room, so that other daemons, look-ups and readiness checks can
# still connect.
SPARE_SHARE = 0.125
# Of a request beside its body, with what is read of the next one.
REQUEST_OVERHEAD_BYTES = 256 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class TableLimits:
    """What all clients of a process together may use.

    Args:
        max_bytes: bytes that the process holds for them.
        max_connections: their open connections.
    """

    max_bytes: int
    max_connections: int

    @classmethod
    def of_process(cls, memory_bytes: int, max_fds: int) -> "TableLimits":
        """Return the limits for a process, given all that it may use."""
        max_bytes = int(memory_bytes * CLIENT_SHARE)
        by_fds = (max_fds - FILE_FDS - OWN_FDS) // FDS_PER_CLIENT
        by_kernel_memory = max_bytes // RECEIVE_BUFFER_BYTES
        return cls(
            max_bytes, max(min(by_fds, by_kernel_memory), MIN_CONNECTIONS)
        )

    @property
    def max_request_bytes(self) -> int:
        """Bytes up to which requests are accepted."""
        return int(self.max_bytes * (1 - SPARE_SHARE))

    @property
    def max_requests(self) -> int:
        """Requests that may be served at once."""
        return int(self.max_connections * (1 - SPARE_SHARE))

    @property
    def max_body_bytes(self) -> int:
        """The largest body that fits, as a body is copied once."""
        return max(self.max_request_bytes - REQUEST_OVERHEAD_BYTES, 0) // 2


@dataclasses.dataclass(frozen=True, slots=True)
class Timeouts:
    """Timeouts of the connections to a listener, in seconds.

    Args:
        head_s: from the first byte of a request's head to its last.
        idle_s: without a request, without a byte of the body of one, or
            without a byte of the answer being taken.
    """

    head_s: float
    idle_s: float
