"""A deployment in one process and virtual time, with the real daemons.

Only the disks, the network between daemons, the instance list and the
targets are replaced by fakes, which implement the interfaces of the product.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import json
import random

from bergamotsail import catalogue
from bergamotsail import daemon as daemon_lib
from bergamotsail import observe
from bergamotsail import settings as settings_lib
from bergamotsail import standins
from bergamotsail import targets
from bergamotsail import wire

POLL_S = 0.05
SETTLE_S = 4.0
PUT_BATCH = 200


@dataclasses.dataclass(frozen=True, slots=True)
class DeploymentSettings:
    """Size, timing and extra settings of a deployment.

    Args:
        load_s: seconds for one load when it is the only one.
        daemon: settings that extend or override those of each daemon.
        seed: seed of the network, the disks and the daemons.
        budget_by_member: budgets, in tokens per second.
        slow_factor: how much slower every third engine steps.
    """

    members: tuple[str, ...]
    daemons: int
    engines: int
    adapters: int
    load_s: float
    engine: standins.EngineSettings
    daemon: dict[str, object] = dataclasses.field(default_factory=dict)
    seed: int = 1
    datacentres: tuple[str, ...] = ("dc-a", "dc-b", "dc-c")
    budget_by_member: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    slow_factor: float = 1.0

    def engine_at(self, number: int) -> standins.EngineSettings:
        """Return the settings of an engine."""
        if number % 3 != 0:
            return self.engine
        step_s = self.engine.step_s * self.slow_factor
        return dataclasses.replace(self.engine, step_s=step_s)


class Deployment:
    """Daemons and engines of a deployment; an async context manager."""

    def __init__(self, settings: DeploymentSettings) -> None:
        self.settings = settings
        self.rng = random.Random(settings.seed)
        self.network = standins.MemoryNetwork(self.rng)
        self.store = standins.WeightStoreStandIn(settings.load_s)
        self.instances = standins.InstanceListStandIn(1.0)
        self.engine_by_address: dict[str, standins.EngineStandIn] = {}
        self.daemon_by_address: dict[str, daemon_lib.Daemon] = {}
        self.leaving: set[str] = set()
        self._stack = contextlib.AsyncExitStack()
        self._link = standins.Link()

    async def __aenter__(self) -> "Deployment":
        settings = self.settings
        for number in range(settings.engines):
            engine = standins.EngineStandIn(
                settings.engine_at(number), self.store
            )
            await self._stack.enter_async_context(engine)
            self.engine_by_address[f"10.1.0.{number + 1}:8000"] = engine
        self.publish()
        addresses = [f"10.0.0.{n + 1}:7000" for n in range(settings.daemons)]
        for number, address in enumerate(addresses):
            await self._start(number, address, addresses[:3])
        await self.daemon(0).node.form()
        await self._wait_until(self._all_have_leases)
        await self._create_entries()
        await asyncio.sleep(SETTLE_S)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._stack.aclose()

    def daemon(self, number: int) -> daemon_lib.Daemon:
        """Return a running daemon by its position."""
        return list(self.daemon_by_address.values())[number]

    def publish(self) -> None:
        """Publish all engines in the instance list."""
        datacentres = self.settings.datacentres
        listed = []
        for number, address in enumerate(self.engine_by_address):
            name = f"runner-{number}"
            state = targets.InstanceState.LIVE
            if name in self.leaving:
                state = targets.InstanceState.LEAVING
            datacentre = datacentres[number % len(datacentres)]
            listed.append(
                targets.Instance(name, "llm", address, datacentre, state)
            )
        self.instances.set(tuple(listed))

    async def _start(
        self, number: int, address: str, replicas: list[str]
    ) -> None:
        values = {
            "name": f"entry-{number}",
            "address": address,
            "datacentre": self.settings.datacentres[number % 3],
            "replicas": replicas,
            "instance_list": "http://list",
            "peer_token": "peer-token-0123456789",
            "operator_tokens": {},
        }
        disk = None
        if address in replicas:
            values["data_folder"] = "data"
            disk = standins.MemoryDisk(self.rng)
        settings = settings_lib.parse(
            json.dumps(values | self.settings.daemon)
        )
        dependencies = daemon_lib.Dependencies(
            standins.MemoryTransport(self.network, address),
            lambda at: standins.MemoryEngine(
                self.engine_by_address[at], self._link
            ),
            lambda _: None,
            standins.MemoryInstanceList(self.instances, self._link),
            disk,
            random.Random(self.rng.random()),
        )
        daemon = daemon_lib.Daemon(settings, dependencies)
        self.network.join(address, daemon.server)
        self.daemon_by_address[address] = daemon
        await daemon.__aenter__()
        self._stack.push_async_callback(self.kill, address)

    async def kill(self, address: str) -> None:
        """Kill a daemon without a graceful shutdown."""
        daemon = self.daemon_by_address.pop(address, None)
        if daemon is not None:
            self.network.kill(address)
            await daemon.__aexit__(None, None, None)

    async def stop(self, address: str) -> None:
        """Shut a daemon down gracefully."""
        await self.daemon_by_address[address].stop()
        await self.kill(address)

    def _all_have_leases(self) -> bool:
        daemons = self.daemon_by_address.values()
        return all(daemon.session.fresh() for daemon in daemons)

    async def _wait_until(
        self, check: collections.abc.Callable[[], bool]
    ) -> None:
        while not check():
            await asyncio.sleep(POLL_S)

    async def _create_entries(self) -> None:
        await self._put("pool", "llm", {"kind": "engine"})
        for member in self.settings.members:
            token = catalogue.hash_token(f"{member}-token")
            value: dict[str, object] = {"token_sha256": token}
            per_s = self.settings.budget_by_member.get(member)
            if per_s is not None:
                budget = {"per_s": per_s, "burst": per_s}
                value["limits"] = {"budget": budget}
            await self._put("member", member, value)
        numbers = range(self.settings.adapters)
        for start in numbers[::PUT_BATCH]:
            batch = numbers[start : start + PUT_BATCH]
            await asyncio.gather(*(self._put_adapter(n) for n in batch))

    async def _put_adapter(self, number: int) -> None:
        members = self.settings.members
        value = {
            "owner": members[number % len(members)],
            "pool": "llm",
            "versions": {"v1": f"store/{number}"},
            "default_version": "v1",
        }
        await self._put("adapter", f"adapter-{number}", value)

    async def _put(self, kind: str, entry_id: str, value: dict) -> None:
        put = catalogue.Put(
            catalogue.Kind(kind),
            entry_id,
            json.dumps(value),
            f"{kind}/{entry_id}",
            "bench",
        )
        leader = self.daemon(0).leader
        while True:
            with contextlib.suppress(wire.ServingError):
                await leader.command(catalogue.Command(put=put))
                return
            await asyncio.sleep(POLL_S)

    def reset_metrics(self) -> None:
        """Reset the metrics of all daemons, to exclude a warm-up."""
        for daemon in self.daemon_by_address.values():
            daemon.metrics.reset()

    def metrics(self) -> observe.MetricsSnapshot:
        """Return the merged metrics of all running daemons."""
        daemons = self.daemon_by_address.values()
        return observe.merge([d.metrics.snapshot() for d in daemons])
