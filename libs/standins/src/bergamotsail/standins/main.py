"""Command line entry point that serves one stand-in over HTTP."""

import asyncio
import contextlib
import signal

from absl import app
from absl import flags
from tornado import httpserver
from tornado import netutil
from tornado import web

from bergamotsail import standins
from bergamotsail import wire

_KIND = flags.DEFINE_enum(
    "kind",
    None,
    ["engine", "service", "store", "list"],
    "System to stand in for.",
)
_ADDRESS = flags.DEFINE_string(
    "address", None, "IP address and port to listen on."
)
_STORE = flags.DEFINE_string("store", None, "Address of the weight store.")
_SETTINGS = flags.DEFINE_string("engine", "{}", "Engine settings as JSON.")
_LOAD_S = flags.DEFINE_float(
    "load_s", 0.25, "Seconds for one load from the store."
)
_LAG_S = flags.DEFINE_float(
    "lag_s", 0.5, "Seconds until a list change is visible."
)
_DELAY_S = flags.DEFINE_float("delay_s", 0.01, "Seconds for a service call.")


async def _serve() -> None:
    async with contextlib.AsyncExitStack() as stack:
        application = await _application(stack)
        host, _, port = _ADDRESS.value.rpartition(":")
        server = httpserver.HTTPServer(application)
        server.add_sockets(netutil.bind_sockets(int(port), host))
        stopped = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopped.set)
        await stopped.wait()


async def _application(stack: contextlib.AsyncExitStack) -> web.Application:
    if _KIND.value == "service":
        service = standins.ServiceStandIn(_DELAY_S.value)
        return standins.service_application(service)
    if _KIND.value == "store":
        store = standins.WeightStoreStandIn(_LOAD_S.value)
        return standins.store_application(store)
    if _KIND.value == "list":
        instances = standins.InstanceListStandIn(_LAG_S.value)
        return standins.list_application(instances)
    http = stack.enter_context(wire.HttpClient())
    source = standins.HttpWeightStore(http, _STORE.value)
    settings = wire.decode(_SETTINGS.value, standins.EngineSettings)
    engine = standins.EngineStandIn(settings, source)
    await stack.enter_async_context(engine)
    return standins.engine_application(engine)


def _main(_: list[str]) -> None:
    asyncio.run(_serve())


def run() -> None:
    """Run the stand-in named by the command line flags."""
    flags.mark_flags_as_required(["kind", "address"])
    app.run(_main)


if __name__ == "__main__":
    run()
