"""A complete deployment on loopback, with daemons and fakes as processes."""

import asyncio
import collections.abc
import dataclasses
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

from bergamotsail import catalogue
from bergamotsail import wire

OPERATOR_TOKEN = "demo-operator-token"
PEER_TOKEN = "demo-peer-token-0123456789"
START_TIMEOUT_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class SystemSettings:
    """Size, timing and extra settings of a system.

    Args:
        replicas: how many of the daemons hold the replicated log.
        load_s: seconds for one load when it is the only one.
        list_lag_s: seconds until an instance list change is visible.
        daemon: settings that extend or override those of each daemon.
        engine: settings of the stand-in engines.
    """

    daemons: int = 6
    replicas: int = 3
    engines: int = 4
    services: int = 2
    datacentres: tuple[str, ...] = ("mnl-a", "mnl-b", "mnl-c")
    load_s: float = 0.25
    list_lag_s: float = 0.5
    daemon: dict[str, object] = dataclasses.field(default_factory=dict)
    engine: dict[str, object] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, eq=False)
class Process:
    """A process of the system, with the arguments that start it."""

    name: str
    address: str
    arguments: list[str]
    log: pathlib.Path
    popen: subprocess.Popen | None = None


class System:
    """Manages the processes of a deployment; a context manager.

    On exit all processes are killed and the folder is removed, also after
    an exception.
    """

    def __init__(self, settings: SystemSettings) -> None:
        self.settings = settings
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="bergamotsail-"))
        self.by_name: dict[str, Process] = {}
        self._reserved_sockets: list[socket.socket] = []

    def __enter__(self) -> "System":
        return self

    def __exit__(self, *_: object) -> None:
        for process in self.by_name.values():
            self._signal(process, signal.SIGKILL)
        for process in self.by_name.values():
            if process.popen is not None:
                process.popen.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    # Startup.

    async def start(self, http: wire.HttpClient) -> None:
        """Start all processes, form the replicated log and wait for leases."""
        self._define_processes()
        for process in self.by_name.values():
            self.launch(process.name)
        await self.wait_listening(http)
        await self.publish_instances(http)
        await self.form(http)
        await self.wait_ready(http)

    def _define_processes(self) -> None:
        settings = self.settings
        store = self._add_standin("store", f"--load_s={settings.load_s}")
        self._add_standin("list", f"--lag_s={settings.list_lag_s}")
        for number in range(settings.engines):
            self._add_standin(
                "engine",
                f"--store={store.address}",
                f"--engine={json.dumps(settings.engine)}",
                name=f"runner-{number}",
            )
        for number in range(settings.services):
            self._add_standin("service", name=f"app-{number}")
        names = [f"entry-{number}" for number in range(settings.daemons)]
        address_by_name = {name: self._free_address() for name in names}
        replicas = [address_by_name[n] for n in names[: settings.replicas]]
        for number, name in enumerate(names):
            self._add_daemon(name, address_by_name[name], number, replicas)
        for reserved in self._reserved_sockets:
            reserved.close()
        self._reserved_sockets.clear()

    def _add_standin(
        self, kind: str, *arguments: str, name: str | None = None
    ) -> Process:
        address = self._free_address()
        return self._add(
            name or kind,
            address,
            [
                "-m",
                "bergamotsail.standins.main",
                f"--kind={kind}",
                f"--address={address}",
                *arguments,
            ],
        )

    def _add_daemon(
        self, name: str, address: str, number: int, replicas: list[str]
    ) -> None:
        datacentres = self.settings.datacentres
        list_address = self.by_name["list"].address
        values: dict[str, object] = {
            "name": name,
            "address": address,
            "datacentre": datacentres[number % len(datacentres)],
            "replicas": replicas,
            "instance_list": f"http://{list_address}/instances",
            "peer_token": PEER_TOKEN,
            "operator_tokens": {"ops": catalogue.hash_token(OPERATOR_TOKEN)},
        }
        if address in replicas:
            values["data_folder"] = str(self.data_folder(name))
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(values | self.settings.daemon, indent=2))
        self._add(
            name,
            address,
            ["-m", "bergamotsail.daemon.main", f"--settings={path}"],
        )

    def data_folder(self, name: str) -> pathlib.Path:
        """Return the data folder of a replica."""
        return self.folder / "data" / name

    def _add(self, name: str, address: str, arguments: list[str]) -> Process:
        log = self.folder / f"{name}.log"
        process = Process(name, address, arguments, log)
        self.by_name[name] = process
        return process

    def _free_address(self) -> str:
        reserved = socket.socket()
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind(("127.0.0.1", 0))
        self._reserved_sockets.append(reserved)
        return f"127.0.0.1:{reserved.getsockname()[1]}"

    def launch(self, name: str) -> None:
        """Start or restart a process."""
        process = self.by_name[name]
        with open(process.log, "ab") as log:
            process.popen = subprocess.Popen(
                [sys.executable, *process.arguments],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    # Fault injection.

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait for its exit."""
        process = self.by_name[name]
        self._signal(process, signal.SIGKILL)
        process.popen.wait()

    def freeze(self, name: str) -> None:
        """Suspend a process with SIGSTOP."""
        self._signal(self.by_name[name], signal.SIGSTOP)

    def wake(self, name: str) -> None:
        """Resume a suspended process with SIGCONT."""
        self._signal(self.by_name[name], signal.SIGCONT)

    def stop(self, name: str) -> None:
        """Request a graceful shutdown with SIGTERM."""
        self._signal(self.by_name[name], signal.SIGTERM)

    async def wait_exit(self, name: str, timeout_s: float) -> int | None:
        """Return a process's exit code, or None after the timeout."""
        deadline = time.monotonic() + timeout_s
        popen = self.by_name[name].popen
        while time.monotonic() < deadline:
            if popen.poll() is not None:
                return popen.returncode
            await asyncio.sleep(0.05)
        return None

    def lose_disk(self, name: str) -> None:
        """Remove a replica's data folder."""
        shutil.rmtree(self.data_folder(name), ignore_errors=True)

    @staticmethod
    def _signal(process: Process, number: signal.Signals) -> None:
        popen = process.popen
        if popen is not None and popen.poll() is None:
            os.kill(popen.pid, number)

    # Inspection and administration.

    @property
    def daemons(self) -> list[str]:
        """Names of all daemons."""
        return [name for name in self.by_name if name.startswith("entry-")]

    @property
    def engines(self) -> list[str]:
        """Names of all engines."""
        return [name for name in self.by_name if name.startswith("runner-")]

    @property
    def services(self) -> list[str]:
        """Names of all services."""
        return [name for name in self.by_name if name.startswith("app-")]

    @property
    def addresses(self) -> list[str]:
        """Addresses of all daemons."""
        return [self.by_name[name].address for name in self.daemons]

    async def wait_listening(self, http: wire.HttpClient) -> None:
        """Wait until every process answers HTTP requests."""

        async def listens(address: str) -> bool:
            request = wire.HttpRequest(f"http://{address}/healthz")
            try:
                await http.fetch(request)
            except wire.ServingError:
                return False
            return True

        for process in self.by_name.values():
            await self.eventually(
                lambda process=process: listens(process.address),
                f"{process.name} to listen",
            )

    async def publish_instances(
        self,
        http: wire.HttpClient,
        leaving: collections.abc.Collection[str] = (),
        without: collections.abc.Collection[str] = (),
    ) -> None:
        """Publish engines and services in the instance list.

        Args:
            leaving: names listed as leaving.
            without: names left out of the list.
        """
        datacentres = self.settings.datacentres
        names = [n for n in self.engines + self.services if n not in without]
        listed = [
            {
                "id": name,
                "pool": "sastre-llm" if name in self.engines else "booking",
                "address": self.by_name[name].address,
                "datacentre": datacentres[number % len(datacentres)],
                "state": "leaving" if name in leaving else "live",
            }
            for number, name in enumerate(names)
        ]
        address = self.by_name["list"].address
        await http.fetch(
            wire.HttpRequest(
                f"http://{address}/instances",
                "PUT",
                json.dumps(listed).encode(),
            )
        )

    async def form(self, http: wire.HttpClient) -> None:
        """Form the replicated log."""
        await self.admin(http, "POST", "/admin/v1/form", {})

    async def wait_ready(self, http: wire.HttpClient) -> None:
        """Wait until every running daemon holds a lease."""

        async def has_lease(address: str) -> bool:
            request = wire.HttpRequest(f"http://{address}/healthz")
            try:
                return (await http.fetch(request)).status == 200
            except wire.ServingError:
                return False

        for name in self.daemons:
            if self.by_name[name].popen.poll() is None:
                address = self.by_name[name].address
                await self.eventually(
                    lambda address=address: has_lease(address),
                    f"{name} to hold a lease",
                )

    async def admin(
        self,
        http: wire.HttpClient,
        method: str,
        path: str,
        body: object = None,
        headers: dict[str, str] | None = None,
        name: str = "entry-0",
    ) -> dict:
        """Send an admin request to a daemon and return the decoded reply.

        Raises:
            ServingError: the daemon answered with an error.
        """
        request = wire.HttpRequest(
            f"http://{self.by_name[name].address}{path}",
            method,
            None if body is None else json.dumps(body).encode(),
            {"Authorization": f"Bearer {OPERATOR_TOKEN}"} | (headers or {}),
        )
        reply = await http.fetch(request)
        answer = json.loads(reply.body)
        if reply.status >= 400:
            raise wire.error_from_body(
                wire.decode(wire.encode(answer["error"]), wire.ErrorBody)
            )
        return answer

    async def put(
        self,
        http: wire.HttpClient,
        kind: str,
        entry_id: str,
        value: object,
        name: str = "entry-0",
    ) -> dict:
        """Create or replace a catalogue entry."""
        path = f"/admin/v1/entries/{kind}/{entry_id}"
        return await self.admin(http, "PUT", path, value, None, name)

    async def wait_applied(self, http: wire.HttpClient, index: int) -> None:
        """Wait until every running daemon applied the log up to an index."""

        async def applied(name: str) -> bool:
            path = "/admin/v1/status"
            status = await self.admin(http, "GET", path, name=name)
            return status["applied"] >= index

        for name in self.daemons:
            if self.by_name[name].popen.poll() is None:
                await self.eventually(
                    lambda name=name: applied(name),
                    f"{name} to apply {index}",
                )

    async def eventually(
        self,
        check: collections.abc.Callable[[], collections.abc.Awaitable[bool]],
        what: str,
        timeout_s: float = START_TIMEOUT_S,
    ) -> None:
        """Poll a check until it returns true.

        Raises:
            TimeoutError: it did not return true within ``timeout_s``.
        """
        deadline = time.monotonic() + timeout_s
        while not await check():
            if time.monotonic() > deadline:
                raise TimeoutError(
                    f"Timed out after {timeout_s} s waiting for {what}."
                )
            await asyncio.sleep(0.05)
