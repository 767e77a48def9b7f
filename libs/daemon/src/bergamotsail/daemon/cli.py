"""The program ``bergamotsail``, for operators and callers.

Exit codes: 0 done, 1 refused or failed, 2 used wrongly or bad settings,
3 no instance could be reached, 4 the entry changed meanwhile.
"""

import asyncio
import collections.abc
import dataclasses
import json
import os
import pathlib
import sys
import typing
import urllib.parse
import uuid

from absl import app
from absl import flags

from bergamotsail import explain
from bergamotsail import observe
from bergamotsail import settings as settings_lib
from bergamotsail import wire

EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
EXIT_CONFLICT = 4
TOKEN_VARIABLE = "BERGAMOTSAIL_TOKEN"
RETRY_PAUSE_S = 0.3
RETRIES = 20

_ADDRESSES = flags.DEFINE_list(
    "addresses", [], "Addresses of instances, tried in order."
)
_TOKEN = flags.DEFINE_string(
    "token", None, f"Token; ${TOKEN_VARIABLE} by default."
)
_JSON = flags.DEFINE_bool("json", False, "Print JSON instead of a table.")
_REVISION = flags.DEFINE_integer(
    "if_revision", None, "Change only if the entry is at this revision."
)
_OPERATION = flags.DEFINE_string(
    "operation_id", None, "Name of the change, to send it again safely."
)
_FILE = flags.DEFINE_string("file", "-", "File with JSON, - for input.")
_REQUEST = flags.DEFINE_string("request", None, "Explain this request only.")
_REPORT = flags.DEFINE_string("report", None, "Write a page of HTML there.")
_MAX_TOKENS = flags.DEFINE_integer("max_tokens", 16, "Tokens to generate.")

USAGE = """Usage: bergamotsail COMMAND [ARGUMENTS] [--flags]

  catalogue list KIND            entries of a kind
  catalogue get KIND ID          one entry
  catalogue apply KIND ID        set an entry from --file (- for input)
  catalogue load                 set many entries from --file, JSON lines
                                 of {"kind", "id", "value"}
  catalogue delete KIND ID       delete an entry
  catalogue history              latest changes
  status                         replicas, instances, targets, owners
  metrics                        metrics merged over --addresses
  form                           form the log of a new system, once
  drain                          stop the first of --addresses as planned
  where model|service NAME       addresses that a caller should use
  call MODEL PROMPT              ask a model and print the answer
  check-settings FILE            check a daemon's settings
  explain-settings               what each setting means
  explain LOG...                 where the time of requests went, from the
                                 JSON logs of daemons; one request's lines
                                 with --request; a page with --report

Kinds: member, pool, adapter, service.
"""


class UsageError(Exception):
    """The command line can't be understood."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What an instance answered."""

    status: int
    body: typing.Any


class Remote:
    """Talks to the first instance that answers."""

    def __init__(self, http: wire.HttpClient) -> None:
        self._http = http
        if not _ADDRESSES.value:
            raise UsageError("Name instances with --addresses.")

    async def ask(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Send a request; safe ones go on to the next instance."""
        token = _TOKEN.value or os.environ.get(TOKEN_VARIABLE, "")
        request_headers = {"Authorization": f"Bearer {token}"}
        last: wire.ServingError | None = None
        for address in _ADDRESSES.value:
            request = wire.HttpRequest(
                f"http://{address}{path}",
                method,
                body,
                request_headers | (headers or {}),
                timeout_s=60.0,
            )
            try:
                reply = await self._http.fetch(request)
            except wire.ServingError as error:
                last = error
                continue
            return Answer(reply.status, json.loads(reply.body or b"null"))
        raise last or UsageError("Name instances with --addresses.")


def _check(answer: Answer) -> typing.Any:
    """Return the body of a good answer; end the program on another."""
    if answer.status < 400:
        return answer.body
    error = answer.body["error"]
    print(f"{error['code']}: {error['message']}", file=sys.stderr)
    if error["code"] == "conflict":
        print(json.dumps(answer.body.get("current")), file=sys.stderr)
        sys.exit(EXIT_CONFLICT)
    sys.exit(EXIT_FAILED)


def _print(value: typing.Any, rows: list[tuple], head: tuple) -> None:
    """Print a table, or JSON on request."""
    if _JSON.value:
        print(json.dumps(value))
        return
    table = [head, *rows]
    widths = [max(len(str(row[i])) for row in table) for i in range(len(head))]
    for row in table:
        cells = (str(cell).ljust(w) for cell, w in zip(row, widths))
        print("  ".join(cells).rstrip())


async def _catalogue(remote: Remote, args: list[str]) -> None:
    action, *rest = args or [""]
    handlers = {
        "list": (_list, 1),
        "get": (_get, 2),
        "apply": (_apply, 2),
        "load": (_load, 0),
        "delete": (_delete, 2),
        "history": (_history, 0),
    }
    handler, count = handlers.get(action, (None, 0))
    if handler is None or len(rest) != count:
        raise UsageError("See the usage of catalogue.")
    await handler(remote, *rest)


async def _list(remote: Remote, kind: str) -> None:
    entries = _check(await remote.ask("GET", f"/admin/v1/entries/{kind}"))
    rows = [
        (
            entry["id"],
            entry["revision"],
            entry["value"].get("owner", "-"),
            entry["value"].get("entry_class", "-"),
        )
        for entry in entries
    ]
    _print(entries, rows, ("ID", "REVISION", "OWNER", "CLASS"))


async def _get(remote: Remote, kind: str, entry_id: str) -> None:
    path = f"/admin/v1/entries/{kind}/{entry_id}"
    print(json.dumps(_check(await remote.ask("GET", path)), indent=2))


def _change_headers(operation_id: str) -> dict[str, str]:
    headers = {"X-Operation-Id": operation_id}
    if _REVISION.value is not None:
        headers["If-Match"] = f'"{_REVISION.value}"'
    return headers


async def _change(
    remote: Remote, method: str, kind: str, entry_id: str, body: bytes | None
) -> typing.Any:
    """Make a change; a lost answer is asked for again, safely."""
    operation_id = _OPERATION.value or uuid.uuid4().hex
    headers = _change_headers(operation_id)
    path = f"/admin/v1/entries/{kind}/{entry_id}"
    for _ in range(RETRIES):
        try:
            answer = await remote.ask(method, path, body, headers)
        except wire.ServingError:
            await asyncio.sleep(RETRY_PAUSE_S)
            continue
        if answer.status not in (421, 502, 503):
            return _check(answer)
        await asyncio.sleep(RETRY_PAUSE_S)
    return _check(await remote.ask(method, path, body, headers))


def _read_file() -> str:
    if _FILE.value == "-":
        return sys.stdin.read()
    with open(_FILE.value) as file:
        return file.read()


async def _apply(remote: Remote, kind: str, entry_id: str) -> None:
    body = _read_file().encode()
    reply = await _change(remote, "PUT", kind, entry_id, body)
    row = (kind, entry_id, reply["revision"])
    _print(reply, [row], ("KIND", "ID", "REVISION"))


async def _load(remote: Remote) -> None:
    lines = [line for line in _read_file().splitlines() if line.strip()]
    for number, line in enumerate(lines, 1):
        entry = json.loads(line)
        body = json.dumps(entry["value"]).encode()
        await _change(remote, "PUT", entry["kind"], entry["id"], body)
        if number % 100 == 0 or number == len(lines):
            print(f"{number} of {len(lines)} entries set", file=sys.stderr)
    _print({"set": len(lines)}, [(len(lines),)], ("SET",))


async def _delete(remote: Remote, kind: str, entry_id: str) -> None:
    reply = await _change(remote, "DELETE", kind, entry_id, None)
    _print(reply, [(kind, entry_id)], ("KIND", "DELETED"))


async def _history(remote: Remote) -> None:
    answer = await remote.ask("GET", "/admin/v1/history")
    changes = _check(answer)
    rows = [
        (
            change["revision"],
            change["operator"],
            "delete" if change["deleted"] else "set",
            change["kind"],
            change["id"],
            change["operation_id"],
        )
        for change in changes
    ]
    head = ("REVISION", "OPERATOR", "WHAT", "KIND", "ID", "OPERATION")
    _print(changes, rows, head)


async def _status(remote: Remote, args: list[str]) -> None:
    status = _check(await remote.ask("GET", "/admin/v1/status"))
    if _JSON.value:
        print(json.dumps(status))
        return
    print(
        f"Instance {status['daemon']}: lease "
        f"{'held' if status['fresh'] else 'lost'}, "
        f"applied {status['applied']}"
    )
    replicas = status["replicas"]
    if replicas is None:
        print("No leader can be reached.")
    else:
        print(
            f"Leader {replicas['leader']}, term {replicas['term']}, commit "
            f"{replicas['commit']}, {replicas['entries']} entries, "
            f"{replicas['claims']} claims"
        )
        print(f"Voters {', '.join(replicas['voters'])}")
        print(f"Learners {', '.join(replicas['learners']) or 'none'}")
        print(f"Instances {len(replicas['daemons'])}")
    rows = [_target_row(target) for target in status["targets"]]
    head = ("TARGET", "POOL", "STATE", "OWNER", "EPOCH", "ADAPTERS", "LOAD")
    _print(status, rows, head)


def _target_row(target: dict[str, typing.Any]) -> tuple:
    info = target["info"]
    state = info["status"] or {}
    load = f"{state.get('running', 0)}+{state.get('queued', 0)}"
    return (
        info["id"],
        info["pool"],
        "leaving" if info["leaving"] else "live",
        (target["owner"] or "-").partition("#")[0],
        target["epoch"],
        len(state.get("residents", ())),
        load,
    )


async def _metrics(remote: Remote, args: list[str]) -> None:
    with wire.HttpClient() as http:
        token = _TOKEN.value or os.environ.get(TOKEN_VARIABLE, "")
        snapshots = []
        for address in _ADDRESSES.value:
            request = wire.HttpRequest(
                f"http://{address}/admin/v1/metrics",
                headers={"Authorization": f"Bearer {token}"},
            )
            reply = await http.fetch(request)
            body = json.loads(reply.body)
            _check(Answer(reply.status, body))
            snapshots.append(wire.decode(reply.body, observe.MetricsSnapshot))
    shown = observe.readable(observe.merge(snapshots))
    rows = [
        (
            name,
            values["count"],
            values.get("p50_ms", "-"),
            values.get("p99_ms", "-"),
            values.get("p100_ms", "-"),
        )
        for name, values in shown.items()
    ]
    _print(shown, rows, ("NAME", "COUNT", "P50 MS", "P99 MS", "MAX MS"))


async def _form(remote: Remote, args: list[str]) -> None:
    _print(
        _check(await remote.ask("POST", "/admin/v1/form", b"")),
        [("formed",)],
        ("LOG",),
    )


async def _drain(remote: Remote, args: list[str]) -> None:
    _print(
        _check(await remote.ask("POST", "/admin/v1/drain", b"")),
        [(_ADDRESSES.value[0],)],
        ("STOPPING",),
    )


async def _where(remote: Remote, args: list[str]) -> None:
    if len(args) != 2 or args[0] not in ("model", "service"):
        raise UsageError("Say where model NAME or where service NAME.")
    query = urllib.parse.urlencode({args[0]: args[1]})
    answer = _check(await remote.ask("GET", f"/v1/where?{query}"))
    rows = [(address, answer["keep_s"]) for address in answer["addresses"]]
    _print(answer, rows, ("ADDRESS", "KEEP S"))


async def _call(remote: Remote, args: list[str]) -> None:
    if len(args) != 2:
        raise UsageError("Say call MODEL PROMPT.")
    body = {
        "model": args[0],
        "prompt": args[1],
        "max_tokens": _MAX_TOKENS.value,
    }
    answer = _check(
        await remote.ask("POST", "/v1/completions", wire.encode(body))
    )
    if _JSON.value:
        print(json.dumps(answer))
        return
    print(answer["choices"][0]["text"])


def _check_settings(path: str) -> int:
    try:
        settings = settings_lib.load(path)
    except settings_lib.SettingsError as group:
        for fault in group.exceptions:
            print(fault, file=sys.stderr)
        return EXIT_USAGE
    role = "replica and entry" if settings.data_folder else "entry"
    print(f"{path} is good: {settings.name} at {settings.address}, {role}.")
    return 0


def _explain_settings() -> int:
    notes = list(settings_lib.explain())
    rows = [
        (note.path, note.kind, note.default, note.allowed, note.note)
        for note in notes
    ]
    head = ("SETTING", "TYPE", "DEFAULT", "ALLOWED", "MEANING")
    _print([dataclasses.asdict(note) for note in notes], rows, head)
    return 0


def _explain(paths: list[str]) -> int:
    """Explain requests from the logs of daemons."""
    if not paths:
        raise UsageError("Name the logs to read.")
    events = explain.read_events(pathlib.Path(path) for path in paths)
    if _REQUEST.value is not None:
        print("\n".join(explain.describe_request(_REQUEST.value, events)))
        return 0
    request_traces = explain.request_traces(events)
    print("\n".join(explain.summary(request_traces, events)))
    if _REPORT.value is not None:
        page = pathlib.Path(_REPORT.value)
        explain.write_report(page, request_traces, events)
    return 0


COMMANDS: dict[
    str,
    collections.abc.Callable[
        [Remote, list[str]], collections.abc.Awaitable[None]
    ],
] = {
    "catalogue": _catalogue,
    "status": _status,
    "metrics": _metrics,
    "form": _form,
    "drain": _drain,
    "where": _where,
    "call": _call,
}


async def _run_remote(name: str, args: list[str]) -> None:
    with wire.HttpClient() as http:
        await COMMANDS[name](Remote(http), args)


def _main(argv: list[str]) -> int:
    name, *args = argv[1:] or [""]
    try:
        if name == "check-settings" and len(args) == 1:
            return _check_settings(args[0])
        if name == "explain-settings":
            return _explain_settings()
        if name == "explain":
            return _explain(args)
        if name not in COMMANDS:
            raise UsageError(f"There is no command {name!r}.")
        asyncio.run(_run_remote(name, args))
    except UsageError as error:
        print(f"{error}\n\n{USAGE}", file=sys.stderr)
        return EXIT_USAGE
    except wire.ServingError as error:
        print(f"{error.code}: {error.message}", file=sys.stderr)
        return EXIT_UNREACHABLE
    except (OSError, ValueError, KeyError) as error:
        print(f"The input can't be used: {error}", file=sys.stderr)
        return EXIT_USAGE
    return 0


def run() -> None:
    """Start from the command line."""
    app.run(_main)


if __name__ == "__main__":
    run()
