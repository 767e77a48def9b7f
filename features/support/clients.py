"""Crowds of clients that don't behave, against `bergamotsaild`."""

import asyncio
import contextlib
import http.client
import json
import time

from bergamotsail import bench
from bergamotsail.bench import demo
from bergamotsail import wire
from features.support import crowd

LIMITS = {"memory_mb": crowd.MEMORY_MB, "max_fds": crowd.MAX_FDS}
WAIT_TIMEOUT_S = 40
TIMEOUT_S = 15
# The first daemons are replicas; the last one is not.
NAME_BY_ROLE = {"replica": "entry-0", "entry": "entry-3"}
CALLER = "Authorization: Bearer tahi-token"
OPERATOR = f"Authorization: Bearer {bench.OPERATOR_TOKEN}"
OPENING_BY_LISTENER = {
    "calls": crowd.Opening(
        "POST", "/v1/services/tahi-app/x", (CALLER, "X-Deadline-Ms: 8000")
    ),
    "catalogue": crowd.Opening(
        "PUT", "/admin/v1/entries/adapter", (OPERATOR,)
    ),
    "peer calls": crowd.Opening("POST", "/peer/v1/heartbeat"),
}
# Makes a list of the catalogue long.
PADDING_VERSIONS = 10_000


class CrowdedSystem:
    """A system of processes with lowered limits; a context manager."""

    def __init__(self) -> None:
        self._stack = contextlib.ExitStack()
        self._loop = asyncio.new_event_loop()
        self._system = bench.System(
            bench.SystemSettings(
                daemons=4,
                engines=1,
                services=1,
                load_s=0.05,
                daemon={"process": LIMITS},
            )
        )

    def __enter__(self) -> "CrowdedSystem":
        self._stack.callback(self._loop.close)
        self._stack.enter_context(self._system)
        self._loop.run_until_complete(self._set_up())
        return self

    def __exit__(self, *_: object) -> None:
        self._stack.close()

    async def _set_up(self) -> None:
        system = self._system
        with wire.HttpClient() as client:
            await system.start(client)
            await demo.create_entries(system, client, 2)
            versions = {
                f"v{n}": f"store/padding/{n:040}"
                for n in range(PADDING_VERSIONS)
            }
            padding = {
                "owner": "tahi",
                "pool": "sastre-llm",
                "versions": versions,
                "default_version": "v1",
            }
            await system.put(client, "adapter", "padding", padding)
            await asyncio.sleep(0)

    def faults(self, kind: str, role: str, listener: str) -> list[str]:
        """Return what a crowd of a kind does to a daemon.

        The daemon is started anew first, so that it holds nothing of an
        earlier crowd.
        """
        process = self._restart(NAME_BY_ROLE[role])
        port = int(process.address.rpartition(":")[2])
        watch = crowd.Watch(process.popen.pid, "127.0.0.1", port)
        members = crowd.members_of(kind, OPENING_BY_LISTENER[listener])
        found = []
        with crowd.Crowd(process.address, members, watch) as pressing:
            pressing.press()
            pressing.hold(
                lambda: found.extend(self._unanswered(process, "beside"))
            )
        found += self._unanswered(process, "after")
        if process.popen.poll() is not None:
            found.append(f"ended with code {process.popen.returncode}")
        found += crowd.log_faults(process.log.read_text())
        return found + watch.faults()

    def fresh_address(self, role: str) -> str:
        """Start the daemon of a role anew and return its address."""
        return self._restart(NAME_BY_ROLE[role]).address

    def _restart(self, name: str) -> bench.Process:
        self._system.kill(name)
        self._system.by_name[name].log.unlink()
        self._system.launch(name)
        process = self._system.by_name[name]
        unanswered = self._unanswered(process, "before")
        assert not unanswered, unanswered
        return process

    def _unanswered(self, process: bench.Process, when: str) -> list[str]:
        """Return the kinds of ordinary requests that get no answer."""
        run = {"model": "adapter-0", "prompt": "x", "max_tokens": 3}
        requests = {
            "call": ("POST", "/v1/completions", CALLER, run),
            "read": ("GET", "/admin/v1/entries/pool", OPERATOR, None),
        }
        return [
            f"{when} the crowd: no answer to a {name}"
            for name, request in requests.items()
            if not self._eventually_answered(process.address, *request)
        ]

    def _eventually_answered(
        self, address: str, method: str, path: str, token: str, body: object
    ) -> bool:
        name, _, value = token.partition(": ")
        data = None if body is None else json.dumps(body)
        ends_at = time.monotonic() + WAIT_TIMEOUT_S
        while time.monotonic() < ends_at:
            with contextlib.suppress(OSError, http.client.HTTPException):
                connection = http.client.HTTPConnection(
                    address, timeout=TIMEOUT_S
                )
                with contextlib.closing(connection):
                    connection.request(method, path, data, {name: value})
                    if connection.getresponse().status == 200:
                        return True
            time.sleep(0.05)
        return False
