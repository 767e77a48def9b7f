"""The settings of a daemon and their defaults."""

import dataclasses
import typing


class Range(typing.NamedTuple):
    """Allowed range of a number, both ends included."""

    low: float
    high: float


def _number(default: float, low: float, high: float, note: str) -> typing.Any:
    metadata = {"range": Range(low, high), "note": note}
    return dataclasses.field(default=default, metadata=metadata)


def _note(note: str, **kwargs: typing.Any) -> typing.Any:
    return dataclasses.field(metadata={"note": note}, **kwargs)


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseFields:
    """Sessions of daemons with the leader."""

    lease_s: float = _number(
        3.0, 0.2, 60, "Seconds a daemon may act after a heartbeat."
    )
    heartbeat_s: float = _number(
        0.5, 0.05, 20, "Seconds between heartbeats; at most a third of it."
    )
    drift: float = _number(
        0.05, 0, 0.5, "Largest relative difference between two clocks."
    )
    order_flight_s: float = _number(
        0.5, 0, 60, "Seconds an order may be on its way to a target."
    )


@dataclasses.dataclass(frozen=True, slots=True)
class ConsensusFields:
    """The replicated log."""

    election_s: float = _number(
        1.0, 0.1, 30, "Seconds of silence before an election."
    )
    heartbeat_s: float = _number(
        0.2, 0.02, 10, "Seconds between the leader's heartbeats."
    )
    call_s: float = _number(
        1.0, 0.1, 30, "Seconds before a call between replicas is given up."
    )
    snapshot_entries: int = _number(
        4000, 10, 1_000_000, "Log entries between snapshots."
    )


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementFields:
    """What owners load and evict."""

    policy: str = _note("value or least_recent.", default="value")
    stall_weight: float = _number(
        0.5, 0, 1, "0 favours full batches, 1 short load stalls."
    )
    max_queue: int = _number(
        256, 1, 100_000, "Waiting requests for each engine."
    )
    report_interval_s: float = _number(
        0.25, 0.01, 10, "Seconds between readings of an engine's report."
    )
    min_residence_s: float = _number(
        1.0, 0, 600, "Seconds that an adapter stays at least."
    )
    half_life_s: float = _number(
        60.0, 1, 86_400, "Seconds after which a use counts half."
    )
    drain_after_s: float = _number(
        2.0, 0, 600, "Seconds of wait after which a busy adapter makes room."
    )
    orphan_grace_s: float = _number(
        5.0, 0, 600, "Seconds that a run outlives the loss of its reader."
    )
    load_retries: int = _number(
        2, 1, 100, "Failed loads after which waiting requests fail."
    )


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionFields:
    """What one daemon admits."""

    max_waiting: int = _number(
        200, 1, 100_000, "Requests of a member that wait for a share."
    )
    max_active: int = _number(
        2000, 1, 100_000, "Requests of all members in this daemon."
    )
    max_wait_s: float = _number(
        10.0, 0, 600, "Seconds that a request waits for a share at most."
    )


@dataclasses.dataclass(frozen=True, slots=True)
class HttpFields:
    """The HTTP server."""

    max_body_bytes: int = _number(
        4 * 1024 * 1024, 1024, 1 << 30, "Largest body of a request."
    )
    idle_s: float = _number(
        120.0, 1, 3600, "Seconds after which an idle connection is closed."
    )
    body_s: float = _number(
        30.0, 1, 3600, "Seconds in which a request's body must arrive."
    )
    write_s: float = _number(
        30.0, 1, 3600, "Seconds that a caller may take to read on."
    )
    default_deadline_s: float = _number(
        30.0, 0.1, 3600, "Deadline of a request that names none."
    )
    max_deadline_s: float = _number(
        600.0, 1, 86_400, "Latest deadline that a request may name."
    )


@dataclasses.dataclass(frozen=True, slots=True)
class StopFields:
    """A planned stop."""

    finish_s: float = _number(
        120.0, 0, 3600, "Seconds that running requests get to finish."
    )


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonSettings:
    """Settings of one ``bergamotsaild``."""

    name: str = _note("Unique and lasting name of this instance.")
    address: str = _note("IP number and port to listen on and be found at.")
    datacentre: str = _note("Data centre of this instance.")
    replicas: tuple[str, ...] = _note("Addresses of all replicas.")
    instance_list: str = _note("URL of the platform's instance list.")
    peer_token: str = _note("Secret shared by all daemons.")
    operator_tokens: dict[str, str] = _note(
        "SHA-256 in hex of each operator's token, by operator."
    )
    data_folder: str | None = _note(
        "Folder on a disk; makes this instance a replica.", default=None
    )
    answer_keep_s: float = _number(
        5.0, 0.1, 3600, "Seconds that callers may keep a look-up's answer."
    )
    list_interval_s: float = _number(
        1.0, 0.05, 60, "Seconds between readings of the instance list."
    )
    claim_retention_s: float = _number(
        86_400.0, 10, 31_536_000, "Seconds that idempotency keys are kept."
    )
    routing: str = _note(
        "residency, or the baselines hash and least_loaded.",
        default="residency",
    )
    lease: LeaseFields = _note(
        "Sessions with the leader.", default=LeaseFields()
    )
    consensus: ConsensusFields = _note(
        "The replicated log.", default=ConsensusFields()
    )
    placement: PlacementFields = _note(
        "Loads and evictions.", default=PlacementFields()
    )
    admission: AdmissionFields = _note(
        "What this instance admits.", default=AdmissionFields()
    )
    http: HttpFields = _note("The HTTP server.", default=HttpFields())
    stop: StopFields = _note("A planned stop.", default=StopFields())
