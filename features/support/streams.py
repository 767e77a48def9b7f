"""Event streams whose connections end anywhere, relayed by a real forwarder.

Targets are fakes: each sends a scripted body, and its connection then closes
normally or fails. The answers have neither a length nor chunks.
"""

import asyncio
import collections.abc
import dataclasses
import itertools
import unittest.mock

from hypothesis import strategies

from bergamotsail import catalogue
from bergamotsail import routing
from bergamotsail.routing import _events
from bergamotsail.routing import _fatal
from bergamotsail import targets
from bergamotsail.targets import _http_engine
from bergamotsail import wire
from features.support import fatal_world
from features.support import ledger

EVENT_STREAM = (("Content-Type", "text/event-stream"),)
EVENTS = tuple(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 5))
WHOLE = b"".join(EVENTS)
INSIDE_EVENT_3 = len(EVENTS[0] + EVENTS[1]) + 7
PIECE_BYTES = 11
ATTEMPTS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Body:
    """What a target sends, and how its connection ends.

    Args:
        cut: the number of bytes sent, None for all.
        fails: whether the connection is reset in place of closed.
        follows: whether the target sends only what comes after the event
            that it is asked to resume after.
    """

    events: tuple[bytes, ...] = EVENTS
    cut: int | None = None
    fails: bool = False
    status: int = 200
    headers: tuple[tuple[str, str], ...] = EVENT_STREAM
    piece_bytes: int = PIECE_BYTES
    follows: bool = True

    def sent(self, resume_after: str | None) -> bytes:
        """Return the bytes that are sent for a request."""
        start = int(resume_after) if resume_after and self.follows else 0
        return b"".join(self.events[start:])[: self.cut]


class Exchange(fatal_world.Exchange):
    """An exchange with a target that sends a scripted body."""

    def __init__(self, body: Body, resume_after: str | None) -> None:
        self._script = body
        self._resume_after = resume_after
        self.sent = False

    async def head(self) -> wire.ReplyHead:
        self.sent = True
        return wire.ReplyHead(self._script.status, self._script.headers)

    async def pieces(self) -> collections.abc.AsyncIterator[bytes]:
        left = self._script.sent(self._resume_after)
        while left:
            piece = left[: self._script.piece_bytes]
            left = left[self._script.piece_bytes :]
            yield piece
        if self._script.fails:
            raise wire.PeerLostError("The connection was reset.")


class Http(fatal_world.Http):
    """A client whose exchanges follow the script, one body a send."""

    def open(self, request, target, headers) -> Exchange:
        resume_after = dict(headers).get("resume")
        self._world.resumed_after.append(resume_after)
        script = self._world.script
        body = script.pop(0) if script else Body((), fails=True)
        return Exchange(body, resume_after)


class Dialect(fatal_world.Dialect):
    """Sends the id of the event to resume after."""

    def outgoing(self, request, destination) -> routing.Headers:
        if destination.resume_after is None:
            return ()
        return (("resume", destination.resume_after),)


class Answer(fatal_world._Answer):
    """Records what the caller gets."""

    def __init__(self) -> None:
        super().__init__()
        self.body = b""
        self.aborted = False

    async def write(self, piece: bytes) -> None:
        self.body += piece

    def abort(self) -> None:
        self.aborted = True


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """What a caller got: a complete, a broken-off or no answer."""

    body: bytes
    complete: bool
    broken_off: bool
    error: wire.ServingError | None
    sends: int
    resumed_after: tuple[str | None, ...]

    def broken_off_faults(self) -> list[str]:
        """Return a fault if the answer doesn't look broken off."""
        visible = self.broken_off or self.error is not None
        if self.complete or not visible:
            return [f"the answer looks complete: {self.body!r}"]
        return []

    def whole_faults(self, body: bytes) -> list[str]:
        """Return a fault if the answer isn't complete with this body."""
        if not self.complete or self.broken_off or self.body != body:
            return [f"the answer is not the whole one: {self}"]
        return []


class World(fatal_world.World):
    """One entry and three targets that follow a script."""

    def __init__(self) -> None:
        super().__init__(entries=1, count=3, attempts=ATTEMPTS)
        self.script: list[Body] = []
        self.resumed_after: list[str | None] = []
        self.dialect = Dialect()

    def make_http(self, entry: int) -> Http:
        return Http(self, entry)


async def relay(
    *script: Body,
    resumable: bool = False,
    method: str = "POST",
    resume_after: str | None = None,
) -> Received:
    """Send a request on a stream route to targets that follow a script."""
    async with World() as world:
        table = world.entries[0].session.view.routes.table
        route = dataclasses.replace(
            table.routes[0],
            kind=catalogue.RouteKind.STREAM,
            resumable=resumable,
        )
        table = catalogue.RouteTable(2, (route,), table.pools)
        await fatal_world.growth._replace_table(world, table)
        await asyncio.sleep(1.0)
        world.script = list(script)
        answer, error = Answer(), None
        now = asyncio.get_running_loop().time()
        request = routing.CallerRequest(
            "q", method, fatal_world.HOST, "/", "/", (), b"", 9.0, now,
            resume_after=resume_after,
        )  # fmt: skip
        try:
            await world.entries[0].forwarder.serve(request, answer)
        except wire.ServingError as refused:
            error = refused
        return Received(
            answer.body,
            answer.finished,
            answer.aborted,
            error,
            len(world.resumed_after),
            tuple(world.resumed_after),
        )


async def cut_inside_an_event() -> list[str]:
    """A stream that ends inside an event is broken off for the caller."""
    received = await relay(Body(cut=INSIDE_EVENT_3))
    faults = received.broken_off_faults()
    if received.sends != 1:
        faults.append(f"{received.sends} sends of a request that may run once")
    return faults


async def whole_stream() -> list[str]:
    """A stream that ends with an event is complete."""
    received = await relay(Body())
    return received.whole_faults(WHOLE)


async def resumed_elsewhere() -> list[str]:
    """A resumable stream goes on elsewhere after its last whole event."""
    received = await relay(Body(cut=INSIDE_EVENT_3), Body(), resumable=True)
    faults = received.whole_faults(WHOLE)
    if received.resumed_after != (None, "2"):
        faults.append(f"resumed after {received.resumed_after}")
    return faults


async def resumed_and_cut_again() -> list[str]:
    """A resumed stream that ends inside an event is broken off."""
    received = await relay(
        Body(cut=INSIDE_EVENT_3),
        Body(cut=7),
        Body(cut=7),
        resumable=True,
    )
    faults = received.broken_off_faults()
    if received.body != EVENTS[0] + EVENTS[1]:
        faults.append(f"the caller got {received.body!r}")
    return faults


async def resumed_twice() -> list[str]:
    """A target that sends no whole event doesn't lose the caller's place."""
    received = await relay(
        Body(cut=INSIDE_EVENT_3), Body(cut=7), Body(), resumable=True
    )
    faults = received.whole_faults(WHOLE)
    if received.resumed_after != (None, "2", "2"):
        faults.append(f"resumed after {received.resumed_after}")
    return faults


async def resumed_with_another_type() -> list[str]:
    """A body without events is not appended to an event stream."""
    json = (("Content-Type", "application/json"),)
    other = Body((b"{}",), headers=json, follows=False)
    received = await relay(
        Body(cut=INSIDE_EVENT_3), other, Body(), resumable=True
    )
    return received.whole_faults(WHOLE)


async def empty_lines_at_the_end() -> list[str]:
    """Empty lines after the last event are passed on."""
    faults = []
    for resumable in (False, True):
        body = Body((*EVENTS, b"\n"))
        received = await relay(body, resumable=resumable)
        faults += received.whole_faults(WHOLE + b"\n")
    return faults


async def ends_before_the_first_event() -> list[str]:
    """A stream without framing that has no event is not complete."""
    received = await relay(Body(()))
    faults = received.broken_off_faults()
    received = await relay(Body(()), Body(), resumable=True)
    faults += received.whole_faults(WHOLE)
    chunked = (*EVENT_STREAM, ("Transfer-Encoding", "chunked"))
    received = await relay(Body((), headers=chunked))
    return faults + received.whole_faults(b"")


async def head_has_no_events() -> list[str]:
    """The answer to a HEAD request is complete without a body."""
    received = await relay(Body(()), method="HEAD")
    return received.whole_faults(b"")


async def id_in_another_encoding() -> list[str]:
    """An event id that is no UTF-8 is sent back as it came."""
    events = (b"id: \xe9\ndata: x\n\n", *EVENTS[1:])
    received = await relay(Body(events))
    faults = received.whole_faults(b"".join(events))
    received = await relay(
        Body(events, cut=len(events[0]) + 3),
        Body(EVENTS[1:], follows=False),
        resumable=True,
    )
    faults += received.whole_faults(b"".join(events))
    if received.resumed_after != (None, "\xe9"):
        faults.append(f"resumed after {received.resumed_after}")
    return faults


async def counts_as_a_lost_run() -> list[str]:
    """A stream that ends inside an event may have ended its target."""
    with unittest.mock.patch.object(
        _fatal.QuarantineGuard, "lost", autospec=True
    ) as lost:
        await relay(Body(cut=INSIDE_EVENT_3))
        await relay(Body(cut=INSIDE_EVENT_3, fails=True))
    if lost.call_count != 2:
        return [f"{lost.call_count} of 2 lost runs were noted"]
    return []


class _CutEngineHttp:
    """An HTTP client for an engine whose second event is cut off."""

    async def stream(
        self, request: wire.HttpRequest
    ) -> collections.abc.AsyncIterator[bytes]:
        choice = _http_engine.Choice("x")
        event = _http_engine.CompletionEvent("s", "a@1", "e1", 0, (choice,))
        line = b"data: " + wire.encode(event)
        yield line
        yield line[:-7]


async def completion_cut_inside_an_event() -> list[str]:
    """A completion that an engine cuts off may be resumed."""
    engine = targets.HttpEngine(_CutEngineHttp(), "10.9.0.1:1")
    order = targets.Order(1, lambda: True)
    run = targets.Run("s", "e1", "a@1", targets.Prompt("x"))
    chunks = []
    try:
        async for chunk in engine.run(order, run):
            chunks.append(chunk.number)
    except wire.PeerLostError:
        return [] if chunks == [0] else [f"chunks {chunks}"]
    except wire.ServingError as error:
        return [f"the caller would get {error.status} {error.code}"]
    return ["the answer looks complete"]


async def failure_is_no_stream() -> list[str]:
    """The body of a failure on a stream route is relayed as it is."""
    text = (("Content-Type", "text/plain"),)
    faults = []
    for resumable in (False, True):
        failure = Body((b"failed",), status=400, headers=text)
        received = await relay(failure, Body(), resumable=resumable)
        faults += received.whole_faults(b"failed")
    return faults


async def other_type_is_no_stream() -> list[str]:
    """A success of another type on a stream route is relayed as it is."""
    json = (("Content-Type", "application/json"),)
    faults = []
    for resumable in (False, True):
        body = Body((b'{"text": "x"}',), headers=json)
        received = await relay(body, Body(), resumable=resumable)
        faults += received.whole_faults(b'{"text": "x"}')
    return faults


async def lines_end_in_crlf() -> list[str]:
    """Each whole event is passed on when it comes, whatever ends its lines."""
    faults = []
    for line_end in (b"\r\n", b"\r"):
        events = tuple(event.replace(b"\n", line_end) for event in EVENTS)
        whole = b"".join(events)
        for resumable in (False, True):
            received = await relay(Body(events), resumable=resumable)
            faults += received.whole_faults(whole)
        bytewise = Body(events, piece_bytes=1)
        received = await relay(bytewise, resumable=True)
        faults += received.whole_faults(whole)
        cut = Body(events, cut=len(events[0] + events[1]) + 7)
        received = await relay(cut, Body(events), resumable=True)
        faults += received.whole_faults(whole)
    return faults


# Line ends are drawn for each line.
EVENT_STREAMS = strategies.tuples(
    strategies.lists(
        strategies.lists(
            strategies.sampled_from(
                (b"id: 1", b"data: x", b"data:", b": comment", b"retry")
            ),
            min_size=1,
            max_size=3,
        ),
        max_size=4,
    ),
    strategies.lists(
        strategies.sampled_from((b"\n", b"\r\n", b"\r")),
        min_size=1,
        max_size=3,
    ),
    strategies.floats(0.0, 1.0),
    strategies.integers(1, 12),
)


def splitter_agrees_with_lines(
    stream: tuple[list[list[bytes]], list[bytes], float, int],
) -> None:
    """The splitter finds the same end as the lines of the whole stream."""
    events, line_ends, share, piece_bytes = stream
    ends = itertools.cycle(line_ends)
    whole = b"".join(
        line + next(ends) for event in events for line in (*event, b"")
    )
    sent = whole[: round(len(whole) * share)]
    splitter = _events.EventSplitter()
    passed = b"".join(
        splitter.feed(sent[start : start + piece_bytes])
        for start in range(0, len(sent), piece_bytes)
    )
    lines = sent.splitlines(keepends=True)
    inside = bool(lines) and bool(lines[-1].strip(b"\r\n"))
    assert passed + splitter.rest == sent
    assert splitter.inside_event == inside, (sent, splitter.rest)


SCENARIOS = {
    scenario.__name__: scenario
    for scenario in (
        cut_inside_an_event,
        whole_stream,
        resumed_elsewhere,
        resumed_and_cut_again,
        resumed_twice,
        resumed_with_another_type,
        empty_lines_at_the_end,
        ends_before_the_first_event,
        head_has_no_events,
        id_in_another_encoding,
        counts_as_a_lost_run,
        completion_cut_inside_an_event,
        failure_is_no_stream,
        other_type_is_no_stream,
        lines_end_in_crlf,
    )
}


def run_scenario(name: str) -> list[str]:
    """Run a scenario in virtual time; return its faults."""
    return ledger.run(SCENARIOS[name]())
