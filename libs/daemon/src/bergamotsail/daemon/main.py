"""The program ``bergamotsaild``."""

import asyncio
import contextlib
import signal
import sys

from absl import app
from absl import flags
from absl import logging
from tornado import httpserver
from tornado import netutil

from bergamotsail.daemon import _assembly
from bergamotsail.daemon import _bounded_body
from bergamotsail.daemon import _http_server
from bergamotsail import quorum
from bergamotsail import settings as settings_lib
from bergamotsail import targets
from bergamotsail import wire

_SETTINGS = flags.DEFINE_string("settings", None, "Path of the settings file.")

FAILED_EXIT = 1
BAD_SETTINGS_EXIT = 2


async def serve(settings: settings_lib.DaemonSettings) -> None:
    """Run a daemon until it is told to stop."""
    async with contextlib.AsyncExitStack() as stack:
        http = stack.enter_context(wire.HttpClient())
        disk = None
        if settings.data_folder is not None:
            disk = quorum.FolderDisk(settings.data_folder)
            stack.callback(disk.close)
        outside = _assembly.Dependencies(
            wire.HttpPeerTransport(http, settings.peer_token),
            lambda address: targets.HttpEngine(http, address),
            lambda address: targets.HttpService(http, address),
            targets.HttpInstanceList(http, settings.instance_list),
            disk,
        )
        daemon = _assembly.Daemon(settings, outside)
        server = _listen(daemon)
        await stack.enter_async_context(daemon)
        logging.info("main: Serving at %s.", settings.address)
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, daemon.request_stop)
        await daemon.wait_stopped()
        server.stop()
        await server.close_all_connections()


def _listen(daemon: _assembly.Daemon) -> httpserver.HTTPServer:
    limits = daemon.settings.http
    server = httpserver.HTTPServer(
        _http_server.application(daemon),
        idle_connection_timeout=limits.idle_s,
        body_timeout=limits.body_s,
        # The handlers bound bodies themselves, to answer with a type.
        max_body_size=_bounded_body.SERVER_BODY_BYTES,
    )
    host, _, port = daemon.settings.address.rpartition(":")
    server.add_sockets(netutil.bind_sockets(int(port), host.strip("[]")))
    return server


def _main(_: list[str]) -> None:
    logging.use_absl_handler()
    try:
        settings = settings_lib.load(_SETTINGS.value)
    except settings_lib.SettingsError as group:
        for fault in group.exceptions:
            print(f"settings: {fault}", file=sys.stderr)
        sys.exit(BAD_SETTINGS_EXIT)
    try:
        asyncio.run(serve(settings))
    except wire.ServingError as error:
        print(f"main: {error.code}: {error.message}", file=sys.stderr)
        sys.exit(FAILED_EXIT)
    except OSError as error:
        print(
            f"main: {error}. Check that {settings.address} is this "
            "instance's and free, and that the data folder can be written.",
            file=sys.stderr,
        )
        sys.exit(FAILED_EXIT)


def run() -> None:
    """Start from the command line."""
    flags.mark_flag_as_required("settings")
    app.run(_main)


if __name__ == "__main__":
    run()
