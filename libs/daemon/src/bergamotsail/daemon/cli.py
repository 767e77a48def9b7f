"""The command line tool ``bergamotsail`` for operators and callers.

Exit codes: 0 success, 1 request refused or failed, 2 usage error or invalid
input, 3 no instance responded, 4 conflict with the current state.
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

from bergamotsail import catalogue
from bergamotsail.daemon import _member_tokens
from bergamotsail import explain
from bergamotsail import observe
from bergamotsail import settings as settings_lib
from bergamotsail import wire

EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
EXIT_CONFLICT = 4
TOKEN_VARIABLE = "BERGAMOTSAIL_TOKEN"
RETRY_DELAY_S = 0.3
RETRIES = 20

_ADDRESSES = flags.DEFINE_list(
    "addresses", [], "Addresses of instances, tried in this order."
)
_TOKEN = flags.DEFINE_string(
    "token", None, f"Token; ${TOKEN_VARIABLE} by default."
)
_JSON = flags.DEFINE_bool("json", False, "Print JSON instead of a table.")
_IF_REVISION = flags.DEFINE_integer(
    "if_revision", None, "Change only if the entry is at this revision."
)
_OPERATION_ID = flags.DEFINE_string(
    "operation_id", None, "Idempotency key of the change, to retry it safely."
)
_FILE = flags.DEFINE_string(
    "file", "-", "File with JSON or JSON lines, - for standard input."
)
_REQUEST = flags.DEFINE_string("request", None, "Explain this request only.")
_REPORT = flags.DEFINE_string(
    "report", None, "Write an HTML report to this path."
)
_MAX_TOKENS = flags.DEFINE_integer("max_tokens", 16, "Tokens to generate.")

USAGE = """Usage: bergamotsail COMMAND [ARGUMENTS] [--flags]

  catalogue list KIND            entries of a kind
  catalogue get KIND ID          one entry
  catalogue apply KIND ID        set an entry from --file or stdin
  catalogue load                 set many entries from --file, JSON lines
                                 of {"kind", "id", "value"}
  catalogue delete KIND ID       delete an entry
  catalogue history              latest changes
  member tokens ID               hashes of the tokens that a member holds
  member rotate ID               add a new token to a member and print it
  member revoke ID HASH          remove a token from a member
  status                         replicas, instances, targets, owners
  metrics                        metrics merged over --addresses
  form                           bootstrap the log of a new system, once
  drain                          shut down the first of --addresses
                                 gracefully
  where model|service NAME       addresses that a caller should use
  call MODEL PROMPT              print a model's completion of a prompt
  check-settings FILE            check a daemon's settings
  explain-settings               what each setting means
  explain LOG...                 time spent per stage of requests, from the
                                 JSON logs of daemons; the events of one
                                 request with --request; an HTML report
                                 with --report

Kinds: member, pool, adapter, service.
"""


class UsageError(Exception):
    """The command line is invalid."""


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """Status and decoded JSON body of a response."""

    status: int
    body: typing.Any


class ApiClient:
    """Client that uses the first of --addresses that responds."""

    def __init__(self, http: wire.HttpClient) -> None:
        self._http = http
        if not _ADDRESSES.value:
            raise UsageError("Set --addresses to the addresses of instances.")

    async def send(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> Response:
        """Send a request to the first instance that responds.

        After a connection error the next address is tried, whatever the
        method.

        Raises:
            ServingError: no instance responded; the error of the last one.
        """
        token = _TOKEN.value or os.environ.get(TOKEN_VARIABLE, "")
        request_headers = {"Authorization": f"Bearer {token}"}
        last_error: wire.ServingError | None = None
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
                last_error = error
                continue
            return Response(reply.status, json.loads(reply.body or b"null"))
        raise last_error or UsageError("Set --addresses.")


def _body_or_exit(response: Response) -> typing.Any:
    """Return the body of a response; exit the program if it is an error."""
    if response.status < 400:
        return response.body
    error = response.body["error"]
    print(f"{error['code']}: {error['message']}", file=sys.stderr)
    if error["code"] == "conflict":
        print(json.dumps(response.body.get("current")), file=sys.stderr)
        sys.exit(EXIT_CONFLICT)
    sys.exit(EXIT_FAILED)


def _print_result(value: typing.Any, rows: list[tuple], header: tuple) -> None:
    """Print *rows* as a table, or *value* as JSON with --json."""
    if _JSON.value:
        print(json.dumps(value))
        return
    table = [header, *rows]
    widths = [
        max(len(str(row[i])) for row in table) for i in range(len(header))
    ]
    for row in table:
        cells = (str(cell).ljust(width) for cell, width in zip(row, widths))
        print("  ".join(cells).rstrip())


async def _catalogue(client: ApiClient, args: list[str]) -> None:
    action, *rest = args or [""]
    handlers = {
        "list": (_list, 1),
        "get": (_get, 2),
        "apply": (_apply, 2),
        "load": (_load, 0),
        "delete": (_delete, 2),
        "history": (_history, 0),
    }
    handler, argument_count = handlers.get(action, (None, 0))
    if handler is None or len(rest) != argument_count:
        raise UsageError("Unknown catalogue command or wrong arguments.")
    await handler(client, *rest)


async def _list(client: ApiClient, kind: str) -> None:
    entries = _body_or_exit(
        await client.send("GET", f"/admin/v1/entries/{kind}")
    )
    rows = [
        (
            entry["id"],
            entry["revision"],
            entry["value"].get("owner", "-"),
            entry["value"].get("entry_class", "-"),
        )
        for entry in entries
    ]
    _print_result(entries, rows, ("ID", "REVISION", "OWNER", "CLASS"))


async def _get(client: ApiClient, kind: str, entry_id: str) -> None:
    path = f"/admin/v1/entries/{kind}/{entry_id}"
    print(json.dumps(_body_or_exit(await client.send("GET", path)), indent=2))


def _change_headers(
    operation_id: str, if_revision: int | None
) -> dict[str, str]:
    headers = {"X-Operation-Id": operation_id}
    if if_revision is not None:
        headers["If-Match"] = f'"{if_revision}"'
    return headers


async def _change(
    client: ApiClient,
    method: str,
    kind: str,
    entry_id: str,
    body: bytes | None,
    if_revision: int | None = None,
) -> typing.Any:
    """Send a change, with retries.

    The operation id makes it idempotent, so a retry after a lost response
    does not apply it twice.
    """
    operation_id = _OPERATION_ID.value or uuid.uuid4().hex
    if _IF_REVISION.value is not None:
        if_revision = _IF_REVISION.value
    headers = _change_headers(operation_id, if_revision)
    path = f"/admin/v1/entries/{kind}/{entry_id}"
    for _ in range(RETRIES):
        try:
            response = await client.send(method, path, body, headers)
        except wire.ServingError:
            await asyncio.sleep(RETRY_DELAY_S)
            continue
        if response.status not in (421, 502, 503):
            return _body_or_exit(response)
        await asyncio.sleep(RETRY_DELAY_S)
    return _body_or_exit(await client.send(method, path, body, headers))


def _read_file() -> str:
    if _FILE.value == "-":
        return sys.stdin.read()
    with open(_FILE.value) as file:
        return file.read()


async def _apply(client: ApiClient, kind: str, entry_id: str) -> None:
    body = _read_file().encode()
    reply = await _change(client, "PUT", kind, entry_id, body)
    row = (kind, entry_id, reply["revision"])
    _print_result(reply, [row], ("KIND", "ID", "REVISION"))


async def _load(client: ApiClient) -> None:
    lines = [line for line in _read_file().splitlines() if line.strip()]
    for number, line in enumerate(lines, 1):
        entry = json.loads(line)
        body = json.dumps(entry["value"]).encode()
        await _change(client, "PUT", entry["kind"], entry["id"], body)
        if number % 100 == 0 or number == len(lines):
            print(f"{number} of {len(lines)} entries set", file=sys.stderr)
    _print_result({"set": len(lines)}, [(len(lines),)], ("SET",))


async def _delete(client: ApiClient, kind: str, entry_id: str) -> None:
    reply = await _change(client, "DELETE", kind, entry_id, None)
    _print_result(reply, [(kind, entry_id)], ("KIND", "DELETED"))


async def _member(client: ApiClient, args: list[str]) -> None:
    action, *rest = args or [""]
    handlers = {
        "tokens": (_list_tokens, 1),
        "rotate": (_rotate_token, 1),
        "revoke": (_revoke_token, 2),
    }
    handler, argument_count = handlers.get(action, (None, 0))
    if handler is None or len(rest) != argument_count:
        raise UsageError("Unknown member command or wrong arguments.")
    await handler(client, *rest)


async def _read_member(client: ApiClient, member: str) -> typing.Any:
    path = f"/admin/v1/entries/member/{member}"
    return _body_or_exit(await client.send("GET", path))


async def _list_tokens(client: ApiClient, member: str) -> None:
    entry = await _read_member(client, member)
    hashes = _member_tokens.hashes(entry["value"])
    _print_result(hashes, [(token,) for token in hashes], ("TOKEN_SHA256",))


async def _rotate_token(client: ApiClient, member: str) -> None:
    """Add a token; the previous ones stay valid until they are revoked."""
    token = _member_tokens.new_token()
    token_sha256 = catalogue.hash_token(token)
    entry = await _read_member(client, member)
    value = _member_tokens.with_token(entry["value"], token_sha256)
    await _put_member(client, member, value, entry["revision"])
    row = (token, token_sha256)
    result = {"token": token, "token_sha256": token_sha256}
    _print_result(result, [row], ("TOKEN", "TOKEN_SHA256"))


async def _revoke_token(
    client: ApiClient, member: str, token_sha256: str
) -> None:
    entry = await _read_member(client, member)
    value = _member_tokens.without_token(entry["value"], token_sha256)
    reply = await _put_member(client, member, value, entry["revision"])
    _print_result(reply, [(member, token_sha256)], ("ID", "REVOKED"))


async def _put_member(
    client: ApiClient, member: str, value: typing.Any, revision: int
) -> typing.Any:
    body = json.dumps(value).encode()
    return await _change(client, "PUT", "member", member, body, revision)


async def _history(client: ApiClient) -> None:
    response = await client.send("GET", "/admin/v1/history")
    changes = _body_or_exit(response)
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
    header = ("REVISION", "OPERATOR", "WHAT", "KIND", "ID", "OPERATION")
    _print_result(changes, rows, header)


async def _status(client: ApiClient, args: list[str]) -> None:
    status = _body_or_exit(await client.send("GET", "/admin/v1/status"))
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
        print("No leader is reachable.")
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
    header = ("TARGET", "POOL", "STATE", "OWNER", "EPOCH", "ADAPTERS", "LOAD")
    _print_result(status, rows, header)


def _target_row(target: dict[str, typing.Any]) -> tuple:
    info = target["info"]
    status = info["status"] or {}
    load = f"{status.get('running', 0)}+{status.get('queued', 0)}"
    return (
        info["id"],
        info["pool"],
        "leaving" if info["leaving"] else "live",
        (target["owner"] or "-").partition("#")[0],
        target["epoch"],
        len(status.get("residents", ())),
        load,
    )


async def _metrics(client: ApiClient, args: list[str]) -> None:
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
            _body_or_exit(Response(reply.status, body))
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
    _print_result(shown, rows, ("NAME", "COUNT", "P50 MS", "P99 MS", "MAX MS"))


async def _form(client: ApiClient, args: list[str]) -> None:
    _print_result(
        _body_or_exit(await client.send("POST", "/admin/v1/form", b"")),
        [("formed",)],
        ("LOG",),
    )


async def _drain(client: ApiClient, args: list[str]) -> None:
    _print_result(
        _body_or_exit(await client.send("POST", "/admin/v1/drain", b"")),
        [(_ADDRESSES.value[0],)],
        ("STOPPING",),
    )


async def _where(client: ApiClient, args: list[str]) -> None:
    if len(args) != 2 or args[0] not in ("model", "service"):
        raise UsageError("Expected: where model NAME or where service NAME.")
    query = urllib.parse.urlencode({args[0]: args[1]})
    response = _body_or_exit(await client.send("GET", f"/v1/where?{query}"))
    rows = [(address, response["keep_s"]) for address in response["addresses"]]
    _print_result(response, rows, ("ADDRESS", "KEEP S"))


async def _call(client: ApiClient, args: list[str]) -> None:
    if len(args) != 2:
        raise UsageError("Expected: call MODEL PROMPT.")
    body = {
        "model": args[0],
        "prompt": args[1],
        "max_tokens": _MAX_TOKENS.value,
    }
    response = _body_or_exit(
        await client.send("POST", "/v1/completions", wire.encode(body))
    )
    if _JSON.value:
        print(json.dumps(response))
        return
    print(response["choices"][0]["text"])


def _check_settings(path: str) -> int:
    try:
        settings = settings_lib.load(path)
    except settings_lib.SettingsError as group:
        for fault in group.exceptions:
            print(fault, file=sys.stderr)
        return EXIT_USAGE
    role = "replica and entry" if settings.data_folder else "entry"
    print(f"{path} is valid: {settings.name} at {settings.address}, {role}.")
    return 0


def _explain_settings() -> int:
    settings = list(settings_lib.explain())
    rows = [
        (item.path, item.kind, item.default, item.allowed, item.note)
        for item in settings
    ]
    header = ("SETTING", "TYPE", "DEFAULT", "ALLOWED", "MEANING")
    _print_result(
        [dataclasses.asdict(item) for item in settings], rows, header
    )
    return 0


def _explain(paths: list[str]) -> int:
    """Print an analysis of requests from the logs of daemons."""
    if not paths:
        raise UsageError("Expected: explain LOG...")
    events = explain.read_events(pathlib.Path(path) for path in paths)
    if _REQUEST.value is not None:
        print("\n".join(explain.describe_request(_REQUEST.value, events)))
        return 0
    request_traces = explain.request_traces(events)
    print("\n".join(explain.summary(request_traces, events)))
    if _REPORT.value is not None:
        report_path = pathlib.Path(_REPORT.value)
        explain.write_report(report_path, request_traces, events)
    return 0


COMMANDS: dict[
    str,
    collections.abc.Callable[
        [ApiClient, list[str]], collections.abc.Awaitable[None]
    ],
] = {
    "catalogue": _catalogue,
    "member": _member,
    "status": _status,
    "metrics": _metrics,
    "form": _form,
    "drain": _drain,
    "where": _where,
    "call": _call,
}


async def _run_remote(name: str, args: list[str]) -> None:
    with wire.HttpClient() as http:
        await COMMANDS[name](ApiClient(http), args)


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
            raise UsageError(f"Unknown command {name!r}.")
        asyncio.run(_run_remote(name, args))
    except UsageError as error:
        print(f"{error}\n\n{USAGE}", file=sys.stderr)
        return EXIT_USAGE
    except wire.BadRequestError as error:
        print(f"{error.code}: {error.message}", file=sys.stderr)
        return EXIT_FAILED
    except wire.ServingError as error:
        print(f"{error.code}: {error.message}", file=sys.stderr)
        return EXIT_UNREACHABLE
    except (OSError, ValueError, KeyError) as error:
        print(f"Invalid input: {error}", file=sys.stderr)
        return EXIT_USAGE
    return 0


def run() -> None:
    """Run the program with the arguments of the command line."""
    app.run(_main)


if __name__ == "__main__":
    run()
