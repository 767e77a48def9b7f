"""Command line entry point of the daemon, ``bergamotsaild``."""

import asyncio
import contextlib
import signal
import sys

from absl import app
from absl import flags
from absl import logging

from bergamotsail import connections
from bergamotsail.daemon import _assembly
from bergamotsail.daemon import _bounded_body
from bergamotsail.daemon import _client_server
from bergamotsail.daemon import _http_server
from bergamotsail import quorum
from bergamotsail import settings as settings_lib
from bergamotsail import targets
from bergamotsail import wire

_SETTINGS = flags.DEFINE_string("settings", None, "Path of the settings file.")

FAILED_EXIT = 1
BAD_SETTINGS_EXIT = 2


async def serve(settings: settings_lib.DaemonSettings) -> None:
    """Run a daemon until SIGTERM, SIGINT or a drain stops it."""
    async with contextlib.AsyncExitStack() as stack:
        http = stack.enter_context(wire.HttpClient())
        disk = None
        if settings.data_folder is not None:
            disk = quorum.FolderDisk(settings.data_folder)
            stack.callback(disk.close)
        dependencies = _assembly.Dependencies(
            wire.HttpPeerTransport(http, settings.peer_token),
            lambda address: targets.HttpEngine(http, address),
            lambda address: targets.HttpService(http, address),
            targets.HttpInstanceList(http, settings.instance_list),
            disk,
        )
        daemon = _assembly.Daemon(settings, dependencies)
        process = settings.process
        clients = await stack.enter_async_context(
            _client_server.ClientListeners(
                _client_server.ProcessLimits(
                    process.memory_mb, process.max_fds
                ),
                daemon.metrics,
            )
        )
        server = _listen(daemon, clients)
        await stack.enter_async_context(daemon)
        logging.info("main: Serving at %s.", settings.address)
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, daemon.request_stop)
        await daemon.wait_stopped()
        server.stop()
        await server.close_all_connections()


def _listen(
    daemon: _assembly.Daemon, clients: _client_server.ClientListeners
) -> _client_server.Listener:
    limits = daemon.settings.http
    return clients.listen(
        _http_server.application(daemon),
        daemon.settings.address,
        _client_server.ListenerLimits(
            # The handlers limit bodies themselves, to send a typed error.
            _bounded_body.SERVER_BODY_BYTES,
            timeouts=connections.Timeouts(limits.head_s, limits.idle_s),
            body_s=limits.body_s,
            for_daemons=True,
        ),
    )


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
            f"main: {error}. Check that {settings.address} is a free address "
            "of this instance and that the data folder is writable.",
            file=sys.stderr,
        )
        sys.exit(FAILED_EXIT)


def run() -> None:
    """Run the program with the arguments of the command line."""
    flags.mark_flag_as_required("settings")
    app.run(_main)


if __name__ == "__main__":
    run()
