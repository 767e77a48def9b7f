"""Runs the project's programs as processes on loopback, for review scripts.

It plays the platform and the operator: it writes settings files, starts the
commands of the deploy file, restarts a process that ended after a short
delay, and sends configurations and reads them back. The list of targets and
the targets are the project's own stand-in (platform/features/support).
"""

import contextlib
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path[:0] = [
    str(ROOT / "target" / "deps"),
    str(ROOT / "platform" / "features"),
]
HOST = "shop.example"
RESTART_S = 0.3
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 3000, "grace_s": 8, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "rollback_slack_ms": 250, "outer_bound_ms": 5000,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_slack": 58,
    "recovery_s": 12, "pass_ms": 120, "retry_after_s": 0,
    "require_fence": True, "lease_ms": 3000, "thaw_slack_ms": 300,
    "ceiling_window_s": 5, "ceiling_overage": 1.1, "version_ms": 5000,
    "ttl_max_s": 5,
}  # fmt: skip


def deploy_commands() -> dict[str, list[str]]:
    """Return the command of each role in the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return {name: r["run"].split() for name, r in deploy["roles"].items()}


def free_ports() -> int:
    """Return the first of ten consecutive ports that are free."""
    while True:
        first = random.randrange(20_000, 32_000)
        with contextlib.suppress(OSError), contextlib.ExitStack() as stack:
            for port in range(first, first + 10):
                sock = stack.enter_context(socket.socket())
                sock.bind(("0.0.0.0", port))
            return first


class Machine:
    """A machine with one role: its settings, disk folder and process."""

    def __init__(self, world: "World", role: str, number: int) -> None:
        self.world, self.role = world, role
        self.name = f"{role}-{number}"
        self.ip = f"127.1.{0 if role == 'replica' else 1}.{number}"
        self.zone = f"z{(number - 1) % 3}"
        self.folder = world.folder / self.name
        self.folder.mkdir()
        self.data = self.folder / "data"
        self.process: subprocess.Popen | None = None
        self.powered = True
        self.bootstrap = True
        self.own_ends: list[float] = []
        self.memory_kills: list[float] = []
        self.restart_at = 0.0

    def start(self) -> None:
        settings = self.folder / "settings.json"
        settings.write_text(json.dumps(self.world.settings(self)))
        env = {
            k: v
            for k, v in os.environ.items()
            if k in ("PATH", "HOME", "LANG")
        }
        env |= {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "BERGAMOTSAIL_BOOT": str(settings),
            "BERGAMOTSAIL_METRICS": str(self.world.port + 5),
        }
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                self.world.commands[self.role], env=env, cwd=ROOT,
                stdout=log, stderr=subprocess.STDOUT,
            )  # fmt: skip
        self.bootstrap = False

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self) -> None:
        """End the process for good (the machine is dark until powered)."""
        self.powered = False
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()
        self.process = None

    def memory_mb(self) -> float:
        """Return the private anonymous memory of the process, in MB."""
        if self.process is None:
            return 0.0
        with contextlib.suppress(OSError, ValueError):
            status = pathlib.Path(f"/proc/{self.process.pid}/status")
            for line in status.read_text().splitlines():
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    def disk_mb(self) -> float:
        """Return the size of the files in its data folder, in MB."""
        total = 0
        if self.data.exists():
            for path in self.data.iterdir():
                with contextlib.suppress(OSError):
                    total += path.stat().st_size
        return total / 1e6


class World:
    """A deployment: a platform, replicas, entries, engines and services.

    Args:
        limits_mb: memory of a machine by role; the platform kills a process
            that uses more (DEPLOY.md, "Memory and descriptors"). Roles that
            are left out are not checked.
    """

    def __init__(
        self, folder: pathlib.Path, replicas: int = 3, entries: int = 2,
        engines: int = 2, services: int = 2,
        limits_mb: dict[str, float] | None = None,
        tolerated: int = 1, bounds: dict | None = None,
    ) -> None:  # fmt: skip
        self.bounds = bounds or {}
        from support import standin

        self.commands = deploy_commands()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review"))
        self.record_file = open(folder / "record.txt", "w", buffering=1)
        self.port = free_ports()
        self.platform = standin.Platform(self.port, engines, services)
        self.replicas = [
            Machine(self, "replica", n + 1) for n in range(replicas)
        ]
        self.entries = [Machine(self, "entry", n + 1) for n in range(entries)]
        self.tolerated = tolerated
        self.limits_mb = limits_mb or {}
        self.began = time.monotonic()
        self.peak_mb: dict[str, float] = {}
        self._ended = threading.Event()
        self._watcher = threading.Thread(target=self._watch, daemon=True)
        self._lock = threading.Lock()

    @property
    def machines(self) -> list[Machine]:
        return self.replicas + self.entries

    def now(self) -> float:
        return time.monotonic() - self.began

    def record(self, text: str) -> None:
        """Write a line with the time to record.txt."""
        with self._lock:
            self.record_file.write(f"{self.now():8.3f} {text}\n")

    def __enter__(self) -> "World":
        self.platform.__enter__()
        for machine in self.machines:
            machine.start()
        self._watcher.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._ended.set()
        self._watcher.join()
        for machine in self.machines:
            machine.stop()
        self.platform.__exit__()
        self.record_file.close()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def _watch(self) -> None:
        """Restart processes that ended, and kill those over their memory."""
        while not self._ended.wait(0.02):
            for machine in self.machines:
                self._watch_machine(machine)

    def _watch_machine(self, machine: Machine) -> None:
        process = machine.process
        if process is None or not machine.powered:
            return
        if process.poll() is None:
            used_mb = machine.memory_mb()
            peak = self.peak_mb.get(machine.name, 0.0)
            self.peak_mb[machine.name] = max(peak, used_mb)
            limit_mb = self.limits_mb.get(machine.role, float("inf"))
            if used_mb > limit_mb:
                self.record(
                    f"platform: {machine.name} uses {used_mb:.0f} MB of "
                    f"{limit_mb:.0f} MB and is killed"
                )
                machine.memory_kills.append(self.now())
                process.kill()
                process.wait()
            return
        if machine.restart_at == 0.0:
            machine.restart_at = self.now() + RESTART_S
            self.record(
                f"platform: {machine.name} ended with {process.returncode}"
            )
            if process.returncode >= 0:
                machine.own_ends.append(self.now())
        elif self.now() >= machine.restart_at:
            machine.restart_at = 0.0
            machine.start()

    def settings(self, machine: Machine) -> dict:
        """Return a settings file as DEPLOY.md describes it."""
        port, ip = self.port, machine.ip
        listen = {"control": f"{ip}:{port + 1}"}
        if machine.role == "entry":
            listen = {
                "front": f"{ip}:{port + 1}",
                "ready": f"{ip}:{port + 2}",
                "directory": f"{ip}:{port + 3}",
            }
        core = machine.role == "replica"
        zones = {f"z{n}": "r" for n in range(3)}
        listed = [m for m in self.replicas if m.powered and m is not machine]
        listed = self.replicas[:3] if machine.bootstrap else listed[:3]
        seeds = [f"{m.ip}:{port + 1}" for m in listed]
        return {
            "node_name": machine.name,
            "role": machine.role,
            "machine_class": "core" if core else "front",
            "ip": ip,
            "zone": machine.zone,
            "region": "r",
            "zones": zones,
            "listen": listen,
            "internal_ports": [port + 4, port + 9],
            "seed_nodes": seeds,
            "bootstrap": machine.bootstrap,
            "counts_as_loss": core,
            "limits": {
                "cpu_share": 0.645, "cpu_cores": 1,
                "memory_mb": 296 if core else 300, "max_fds": 4096,
                "link_mbps": 1000.0, "disk_mb": 128 if core else 0,
            },
            "data_dir": str(machine.data) if core else None,
            "discovery": "cloud",
            "entry": "directory",
            "fault_tolerance": {
                "machines": self.tolerated, "zones": 0, "regions": 0,
            },
            "bounds": BOUNDS | self.bounds,
            "config_mode": "highest",
            "cloud": {
                "address": self.platform.list_address, "rate_per_s": 47.0,
                "duties": [], "lag_ms": 800,
            },
        }  # fmt: skip

    def leader(self, give_up_s: float = 20.0) -> Machine | None:
        """Return the replica that answers a read of the configuration."""
        ends_at = self.now() + give_up_s
        while self.now() < ends_at:
            for machine in self.replicas:
                if not machine.powered:
                    continue
                address = f"{machine.ip}:{self.port + 1}"
                with contextlib.suppress(OSError, http.client.HTTPException):
                    if call(address, "GET", "/api/config")[0] == 200:
                        return machine
            time.sleep(0.1)
        return None

    def storms(
        self, changes: int, gap_s: float, more_routes: int, give_up_s: float
    ) -> int:
        """Send changes in storms of 6.5 s; return the last acknowledged."""
        ends_at = self.now() + give_up_s
        acknowledged = 1
        while acknowledged <= changes and self.now() < ends_at:
            acknowledged = self._storm(
                acknowledged + 1, changes + 1, gap_s, 6.5, more_routes
            )
            time.sleep(1.0)
        return acknowledged

    def _storm(
        self, first: int, last: int, gap_s: float, for_s: float,
        more_routes: int,
    ) -> int:  # fmt: skip
        """Send a change each *gap_s*; return the last version acknowledged."""
        began, version, acknowledged = self.now(), first, first - 1
        while version <= last and self.now() < began + for_s:
            if self.put_config(self.config(version, more_routes), 10.0):
                acknowledged = version
            version += 1
            left_s = began + (version - first) * gap_s - self.now()
            time.sleep(max(0.0, left_s))
        self.record(f"operator: sent {version - first} changes in {for_s} s")
        return acknowledged

    def add_replica(self) -> Machine:
        """Start an empty machine of the core at a new address."""
        machine = Machine(self, "replica", len(self.replicas) + 1)
        machine.bootstrap = False
        self.replicas.append(machine)
        machine.start()
        return machine

    # The operator.

    def put_config(self, config: dict, give_up_s: float = 30.0) -> bool:
        """Send a configuration, to one machine after the other, until 200."""
        body = json.dumps(config).encode()
        version = config["version"]
        return self._operate("PUT", "/api/config", body, give_up_s,
                             f"version {version}") is not None  # fmt: skip

    def name_version(self, adapter: str, version: int) -> bool:
        """Name a new version of an adapter, as an operator does."""
        from support import standin

        named = {
            "model": standin.MODEL, "adapter": adapter, "version": version,
        }  # fmt: skip
        body = json.dumps(named).encode()
        done = self._operate("POST", "/api/version-put", body, 30.0,
                             f"{adapter} version {version}")  # fmt: skip
        if done is not None:
            for engine in self.platform.engines:
                engine.newest_versions[adapter] = version
        return done is not None

    def read_config(self, give_up_s: float) -> int | None:
        """Read the configuration back; return its version, None without."""
        text = self._operate("GET", "/api/config", b"", give_up_s, "read")
        return None if text is None else json.loads(text)["version"]

    def _operate(
        self, method: str, path: str, body: bytes, give_up_s: float, what: str
    ) -> bytes | None:
        ends_at = self.now() + give_up_s
        number, pause_s, last = 0, 0.05, ""
        while self.now() < ends_at:
            up = [m for m in self.replicas if m.powered]
            machine = up[number % len(up)]
            number += 1
            try:
                status, data = self._ask(
                    f"{machine.ip}:{self.port + 1}", method, path, body
                )
            except (OSError, http.client.HTTPException) as error:
                status, data = type(error).__name__, b""
            if status == 200:
                self.record(f"operator: {method} {path} {what} -> 200")
                return data
            if status in (400, 409, 412, 413, 422):
                self.record(f"operator: {method} {path} {what} -> {status}")
                return None
            text = f"operator: {method} {path} {what} at {machine.name}"
            if f"{text} {status}" != last:
                last = f"{text} {status}"
                self.record(f"{text} -> {status}, tries on")
            time.sleep(pause_s)
            pause_s = min(pause_s * 1.5, 0.5)
        self.record(f"operator: {method} {path} {what}: gave up")
        return None

    def _ask(
        self, address: str, method: str, path: str, body: bytes
    ) -> tuple[int, bytes]:
        for _ in range(3):
            status, headers, data = call(
                address, method, path, body, timeout_s=2.0
            )
            if status != 307:
                return status, data
            url = urllib.parse.urlsplit(headers["location"])
            address, path = url.netloc, url.path
        return status, data

    def config(self, version: int, more_routes: int = 0, **changes) -> dict:
        """Return a configuration, with more routes than are in use."""
        from support import standin

        engine = {
            "slots": 64, "kv_capacity": 125604, "weights_mb": 66500.0,
            "adapter_slots": 2, "loads_per_s": 2.9,
            "models": [
                {
                    "name": standin.MODEL, "weights_mb": 65100.0,
                    "load_s": 3.9, "adapters": 3000, "adapter_mb": 12.0,
                }
            ],
        }  # fmt: skip
        routes = [
            route("stream", "streaming", "llm", timeout_ms=15000),
            route("resume", "streaming", "llm", timeout_ms=15000,
                  resumable=True, max_attempts=2),
            route("book", "unsafe", "app"),
            route("look", "safe", "app", max_attempts=2),
        ]  # fmt: skip
        routes += [
            route(f"r-{n:06x}", "safe", "app") for n in range(more_routes)
        ]
        return {
            "version": version,
            "routes": routes,
            "services": [
                {"name": "llm", "health_path": "/health", "max_conns": 370,
                 "protocol": "h1", "tls": False, "engine": engine},
                {"name": "app", "health_path": "/health", "max_conns": 110,
                 "protocol": "h1", "tls": False},
            ],
            "limits": {
                "max_header_bytes": 16384, "max_body_bytes": 4194304,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
            },
        } | changes  # fmt: skip

    # Clients.

    def request(
        self, name: str, attempt: str, at: int = 0, adapter: str = "a1",
        deadline_ms: int = 5000, headers: dict[str, str] | None = None,
    ) -> tuple[int | str, dict, bytes]:  # fmt: skip
        """Send a request to an entry; the status is text if none came."""
        from support import standin

        sent = {
            "Host": HOST,
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": str(deadline_ms),
        } | (headers or {})
        if name in ("stream", "resume"):
            sent["X-Model"] = f"{standin.MODEL}/{adapter}"
            sent["X-Token-Counts"] = "100,12"
            sent["X-Prompt-Prefix"] = "ab:60,cd:40"
        method = "GET" if name == "look" else "POST"
        body = b"" if method == "GET" else b"{}"
        address = f"{self.entries[at].ip}:{self.port + 1}"
        try:
            answer = call(
                address, method, f"/{name}/x", body, sent,
                timeout_s=deadline_ms / 1000 + 1,
            )  # fmt: skip
        except (OSError, http.client.HTTPException) as error:
            answer = (type(error).__name__, {}, b"")
        self.record(f"client: {attempt} {name} at entry {at} -> {answer[0]}")
        return answer

    def wait_served(self, give_up_s: float = 30.0) -> bool:
        """Wait until all entries serve both services."""
        ends_at = self.now() + give_up_s
        for at in range(len(self.entries)):
            for name in ("look", "stream"):
                number = 0
                while True:
                    number += 1
                    attempt = f"warm-{at}-{name}-{number}"
                    if self.request(name, attempt, at)[0] == 200:
                        break
                    if self.now() > ends_at:
                        return False
                    time.sleep(0.1)
        return True


def exit_with(main) -> None:
    """Exit with the result of a case, and with 2 if it could not run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        code = main()
    except BaseException:
        traceback.print_exc()
        code = 2
    sys.stdout.flush()
    # Threads of stand-ins don't hold up the end.
    os._exit(code)


def route(name: str, kind: str, service: str, **changes) -> dict:
    """Return a route as the operator sends it."""
    return {
        "name": name, "host": HOST, "path_prefix": f"/{name}/",
        "route_type": kind, "timeout_ms": 5000, "target_latency_ms": 1000,
        "priority": 2, "service": service, "max_attempts": 1, "sticky": False,
        "resumable": False, "gap_target_ms": 400,
    } | changes  # fmt: skip


def call(
    address: str, method: str, path: str, body: bytes = b"",
    headers: dict[str, str] | None = None, timeout_s: float = 5.0,
) -> tuple[int, dict[str, str], bytes]:  # fmt: skip
    """Make an HTTP call on a connection of its own."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, path, body, headers or {})
        reply = connection.getresponse()
        headers = {k.lower(): v for k, v in reply.getheaders()}
        return reply.status, headers, reply.read()
    finally:
        connection.close()
