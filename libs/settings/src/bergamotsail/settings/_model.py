"""The settings of a daemon and their defaults."""

import dataclasses
import typing


class Range(typing.NamedTuple):
    """Allowed range of a number, both ends included."""

    low: float
    high: float


def _number_field(
    default: float, low: float, high: float, note: str
) -> typing.Any:
    metadata = {"range": Range(low, high), "note": note}
    return dataclasses.field(default=default, metadata=metadata)


def _described_field(note: str, **kwargs: typing.Any) -> typing.Any:
    return dataclasses.field(metadata={"note": note}, **kwargs)


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseFields:
    """Leases of the daemons' sessions with the leader."""

    lease_s: float = _number_field(
        3.0,
        0.2,
        60,
        "Seconds that a lease is valid after a heartbeat was sent.",
    )
    heartbeat_s: float = _number_field(
        0.5,
        0.05,
        20,
        "Seconds between heartbeats; at most a third of lease_s.",
    )
    drift: float = _number_field(
        0.05, 0, 0.5, "Largest relative drift between two clocks."
    )
    order_flight_s: float = _number_field(
        0.5,
        0,
        60,
        "Longest time, in seconds, that an order is in transit to a target.",
    )


@dataclasses.dataclass(frozen=True, slots=True)
class ConsensusFields:
    """The replicated log."""

    election_s: float = _number_field(
        1.0,
        0.1,
        30,
        "Election timeout: seconds without contact to the leader.",
    )
    heartbeat_s: float = _number_field(
        0.2, 0.02, 10, "Seconds between the leader's heartbeats."
    )
    call_s: float = _number_field(
        1.0, 0.1, 30, "Timeout of a call between replicas, in seconds."
    )
    snapshot_entries: int = _number_field(
        4000, 10, 1_000_000, "Log entries between snapshots."
    )
    snapshot_log_bytes: int = _number_field(
        8_388_608,
        65_536,
        1_073_741_824,
        "Bytes of log entries between snapshots; twice the size of the last "
        "snapshot if that is more.",
    )


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementFields:
    """Loads and evictions of adapters."""

    policy: str = _described_field(
        "Eviction policy: value or least_recent.", default="value"
    )
    stall_weight: float = _number_field(
        0.5, 0, 1, "0 favours full batches, 1 favours short load stalls."
    )
    max_queue: int = _number_field(
        256, 1, 100_000, "Maximum number of waiting requests for each engine."
    )
    report_interval_s: float = _number_field(
        0.25, 0.01, 10, "Seconds between polls of an engine's report."
    )
    min_residence_s: float = _number_field(
        1.0, 0, 600, "Minimum time, in seconds, that an adapter stays loaded."
    )
    half_life_s: float = _number_field(
        60.0, 1, 86_400, "Half-life of use counts, in seconds."
    )
    drain_after_s: float = _number_field(
        2.0, 0, 600, "Wait, in seconds, after which a busy adapter is drained."
    )
    orphan_grace_s: float = _number_field(
        5.0, 0, 600, "Seconds that a run continues after its reader was lost."
    )
    load_retries: int = _number_field(
        2, 1, 100, "Number of failed loads after which waiting requests fail."
    )


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionFields:
    """Admission control of one daemon."""

    max_waiting: int = _number_field(
        200,
        1,
        100_000,
        "Maximum number of a member's requests that wait for a share.",
    )
    max_active: int = _number_field(
        2000,
        1,
        100_000,
        "Maximum number of requests of all members in this daemon.",
    )
    max_wait_s: float = _number_field(
        10.0,
        0,
        600,
        "Longest time, in seconds, that a request waits for a share.",
    )


@dataclasses.dataclass(frozen=True, slots=True)
class HttpFields:
    """The HTTP server."""

    max_body_bytes: int = _number_field(
        4 * 1024 * 1024, 1024, 1 << 30, "Largest body of a request."
    )
    idle_s: float = _number_field(
        120.0, 1, 3600, "Seconds after which an idle connection is closed."
    )
    head_s: float = _number_field(
        10.0, 1, 3600, "Seconds in which a request's head must arrive."
    )
    body_s: float = _number_field(
        30.0, 1, 3600, "Seconds in which a request's body must arrive."
    )
    write_s: float = _number_field(
        30.0,
        1,
        3600,
        "Timeout, in seconds, of a write to a caller that reads slowly.",
    )
    default_deadline_s: float = _number_field(
        30.0, 0.1, 3600, "Deadline, in seconds, of a request that sets none."
    )
    max_deadline_s: float = _number_field(
        600.0,
        1,
        86_400,
        "Longest deadline, in seconds, that a request may set.",
    )


@dataclasses.dataclass(frozen=True, slots=True)
class StopFields:
    """Graceful shutdown."""

    finish_s: float = _number_field(
        120.0, 0, 3600, "Seconds that running requests have to finish."
    )


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessFields:
    """What the process may use; a quarter of it is for its clients."""

    memory_mb: int = _number_field(
        0,
        0,
        1_000_000,
        "Memory of the process, in MB; 0 means that of the instance.",
    )
    max_fds: int = _number_field(
        0,
        0,
        1_000_000,
        "Descriptors of the process; 0 means its resource limit.",
    )


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonSettings:
    """Settings of one ``bergamotsaild``."""

    name: str = _described_field("Unique, stable name of this instance.")
    address: str = _described_field(
        "IP address and port to listen on and to be reached at."
    )
    datacentre: str = _described_field("Data centre of this instance.")
    replicas: tuple[str, ...] = _described_field("Addresses of all replicas.")
    instance_list: str = _described_field(
        "URL of the platform's instance list."
    )
    peer_token: str = _described_field("Secret shared by all daemons.")
    operator_tokens: dict[str, str] = _described_field(
        "SHA-256 in hex of each operator's token, by operator."
    )
    data_folder: str | None = _described_field(
        "Folder on a disk; for a replica only, and required there.",
        default=None,
    )
    answer_keep_s: float = _number_field(
        5.0,
        0.1,
        3600,
        "Seconds that callers may cache the answer of a look-up.",
    )
    list_interval_s: float = _number_field(
        1.0, 0.05, 60, "Seconds between polls of the instance list."
    )
    claim_retention_s: float = _number_field(
        86_400.0, 10, 31_536_000, "Retention of idempotency keys, in seconds."
    )
    routing: str = _described_field(
        "Routing policy: residency, or the baselines hash and least_loaded.",
        default="residency",
    )
    lease: LeaseFields = _described_field(
        "Leases of sessions with the leader.", default=LeaseFields()
    )
    consensus: ConsensusFields = _described_field(
        "The replicated log.", default=ConsensusFields()
    )
    placement: PlacementFields = _described_field(
        "Loads and evictions of adapters.", default=PlacementFields()
    )
    admission: AdmissionFields = _described_field(
        "Admission control of this instance.", default=AdmissionFields()
    )
    http: HttpFields = _described_field(
        "The HTTP server.", default=HttpFields()
    )
    process: ProcessFields = _described_field(
        "What the process may use.", default=ProcessFields()
    )
    stop: StopFields = _described_field(
        "Graceful shutdown.", default=StopFields()
    )
