"""A stand-in for the users' targets: plain answers, event streams and faults."""

from __future__ import annotations

import json
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet import reactor as default_reactor
from twisted.internet.protocol import ServerFactory
from twisted.internet.protocol import connectionDone
from twisted.web.http import HTTPChannel
from twisted.web.http import Request

from primrosescale.platform import http_codec as names
from primrosescale.standin.engine_slots import EngineSlots

if TYPE_CHECKING:
    from collections.abc import Callable

OK = 200
INTERNAL_SERVER_ERROR = 500
SERVICE_UNAVAILABLE = 503
MISDIRECTED = 421
# None of them is a status of HTTP.
ODD_STATUSES = (b"000", b"099", b"999", b"1000")
DEFAULT_SIGNATURE = b"3e1b.07"
REPORT_PATH = b"/api/report"
HELD_PARTS_PATH = b"/api/kv-list"
INCARNATION_HEADER = b"Primrosescale-Instance-Id"


class EngineFault(Enum):
    """Fault with which a request is answered, or not answered."""

    FAIL = "fail"
    DECLINE = "decline"
    SILENT = "silent"
    RESET = "reset"
    NO_RECEIPT = "no receipt"
    WRONG_ID = "wrong id"
    EXTRA_ANSWER = "extra answer"
    NO_LENGTH = "no length"
    NO_LENGTH_RESET = "no length, reset"
    CUT = "cut"
    ODD_STATUS = "odd status"


@dataclass(slots=True)
class ReceivedRequest:
    """A request as the engine received it.

    Parameters
    ----------
    method : bytes
        HTTP method.
    path : bytes
        Path and query.
    headers : dict[bytes, bytes]
        Headers, names in lower case.
    body : bytes
        Body.
    is_left : bool
        Whether its connection was closed before the answer was complete.
    has_run : bool
        Whether the engine began to run it.
    fault : EngineFault | None
        Fault with which it is answered.
    """

    method: bytes
    path: bytes
    headers: dict[bytes, bytes]
    body: bytes
    is_left: bool = False
    has_run: bool = False
    fault: EngineFault | None = None


@dataclass(slots=True)
class EngineIncarnation:
    """State of one incarnation of an engine; replaced as a whole at a restart.

    Parameters
    ----------
    started_at : int | None
        Its start in Unix milliseconds; None for an engine that reports none.
    sequence : int
        Number of orders that it has accepted.
    held : list[tuple[str, int]]
        Prompt parts in its prefix cache, with their tokens.
    running : int
        Number of requests in flight.
    silent_until : float
        Time until which it sends nothing to anyone, in seconds of the engine's
        reactor; it still reads, runs requests and keeps its connections.
    slots : EngineSlots
        Requests that run and wait, if the number that run at once is limited.
    """

    started_at: int | None = None
    sequence: int = 0
    held: list[tuple[str, int]] = field(default_factory=list)
    running: int = 0
    silent_until: float = 0.0
    slots: EngineSlots = field(default_factory=EngineSlots)

    def with_start(self, **fields: Any) -> dict[str, Any]:
        """Return fields with the start added, if the engine reports one.

        Parameters
        ----------
        **fields : Any
            The other fields.

        Returns
        -------
        dict[str, Any]
            The fields.
        """
        start = {} if self.started_at is None else {"born": self.started_at}
        return {**fields, **start}


@dataclass(slots=True)
class EngineScript:
    """Behaviour of an engine and what it received; may be changed while it runs.

    Parameters
    ----------
    name : str
        Its unique name; another one makes it another target.
    faults : list[EngineFault]
        Faults of the next requests, in order.
    events : int
        Number of events of a stream; 0 for plain answers.
    cut_after : int
        Number of events after which a cut stream ends.
    gap : float
        Seconds between events.
    body : bytes
        Body of a plain answer.
    delay : float
        Seconds before a plain answer.
    arrivals : list[ReceivedRequest]
        Requests received so far.
    echoes_request_id : bool
        Whether answers and events contain the request id, so that a caller can
        tell its own answer from others.
    receipt : bytes
        Signature of its answers.
    health_path : bytes
        Path of its health check; empty for none.
    on_arrival : Callable[[ReceivedRequest], None] | None
        Called for each request, once it is decided whether it runs.
    is_leaving : bool
        Whether its answers report that it leaves.
    rest : float | None
        Pause in seconds that it requests when it declines a request.
    is_resting : bool
        Whether it declines all requests.
    state_headers : Callable[[], dict[bytes, bytes]] | None
        Returns further headers with which its answers report its state; they
        replace the usual ones of the same name.
    slots : int
        Requests that it runs at once; 0 for no limit. The others wait.
    max_waiting : int
        Requests that may wait; further ones are declined as not run.
    pace : Callable[[], float]
        Returns how long work takes at present, as a multiple of the usual time.
    padding : dict[bytes, int]
        Bytes that plain answers get in addition, by the first part of the path.
    gaps : dict[bytes, float]
        Seconds between events in place of `gap`, by the first part of the path.
    event_suffix : bytes
        Added to the data of each event, such as the version of its software.
    current_incarnation : EngineIncarnation
        State of its present incarnation.
    """

    name: str = "i-1"
    faults: list[EngineFault] = field(default_factory=list)
    events: int = 0
    cut_after: int = 2
    gap: float = 0.005
    body: bytes = b"done"
    delay: float = 0.0
    arrivals: list[ReceivedRequest] = field(default_factory=list)
    echoes_request_id: bool = False
    receipt: bytes = DEFAULT_SIGNATURE
    health_path: bytes = b""
    on_arrival: Callable[[ReceivedRequest], None] | None = None
    is_leaving: bool = False
    rest: float | None = None
    is_resting: bool = False
    state_headers: Callable[[], dict[bytes, bytes]] | None = None
    slots: int = 0
    max_waiting: int = 0
    pace: Callable[[], float] = lambda: 1.0
    padding: dict[bytes, int] = field(default_factory=dict)
    gaps: dict[bytes, float] = field(default_factory=dict)
    event_suffix: bytes = b""
    current_incarnation: EngineIncarnation = field(default_factory=EngineIncarnation)

    @property
    def running(self) -> int:
        """Return how many requests the present incarnation has in flight."""
        return self.current_incarnation.running

    @property
    def is_full(self) -> bool:
        """Return whether its slots are taken and no further request may wait."""
        slots = self.current_incarnation.slots
        is_taken = 0 < self.slots <= slots.running
        return is_taken and slots.waiting >= self.max_waiting

    def self_description(self, method: bytes, path: bytes) -> dict[str, Any] | None:
        """Return its report, cache contents or health when a request asks for one.

        Parameters
        ----------
        method : bytes
            HTTP method.
        path : bytes
            Path and query.

        Returns
        -------
        dict[str, Any] | None
            The fields; None for a caller's request.
        """
        requested_path = path.partition(b"?")[0]
        incarnation = self.current_incarnation
        if method != b"GET" or requested_path not in {
            REPORT_PATH,
            HELD_PARTS_PATH,
            self.health_path,
        }:
            return None
        if requested_path == HELD_PARTS_PATH:
            held = [["", part, tokens, "m"] for part, tokens in incarnation.held]
            return incarnation.with_start(
                epoch=incarnation.started_at or 0, next=len(held), held=held
            )
        if requested_path == REPORT_PATH:
            return incarnation.with_start(
                stage="both",
                models=[{"name": "m", "version": 1, "adapters": []}],
                busy=False,
                sequence=incarnation.sequence,
                waiting=0,
                running=incarnation.running,
                kv_used=sum(tokens for _, tokens in incarnation.held),
                kv_total=90000,
                handles=0,
            )
        return incarnation.with_start()

    def plain_answer(self, request_id: bytes, path: bytes) -> bytes:
        """Return the body of the complete plain answer to a request.

        Parameters
        ----------
        request_id : bytes
            Id of the request.
        path : bytes
            Path and query.

        Returns
        -------
        bytes
            The body.
        """
        body = (
            b"%b for %b" % (self.body, request_id)
            if self.echoes_request_id
            else self.body
        )
        return body + b"." * self.padding.get(_first_part(path), 0)

    def gap_of(self, path: bytes) -> float:
        """Return the seconds between two events of an answer.

        Parameters
        ----------
        path : bytes
            Path of the request.

        Returns
        -------
        float
            Seconds, by the present pace.
        """
        return self.gaps.get(_first_part(path), self.gap) * self.pace()


def _first_part(path: bytes) -> bytes:
    return path.lstrip(b"/").partition(b"/")[0]


class _EngineRequest(Request):
    """One request at the engine, answered as the script says."""

    # A connection may be lost before its request is received completely.
    _is_received = False
    _is_running = False
    # Starts it; set while it has or awaits a slot.
    _start: Callable[[], None] | None = None

    def process(self) -> None:
        """Answer the request as the script says."""
        channel: Any = self.channel
        self._script: EngineScript = channel.script
        self._incarnation: EngineIncarnation = channel.incarnation
        description = self._script.self_description(self.method, self.uri)
        if description is not None:
            channel.when_not_silent(lambda: self._send_description(description))
            return
        self._is_received = True
        content: Any = self.content
        self._received = ReceivedRequest(
            self.method,
            self.uri,
            {
                name.lower(): values[0]
                for name, values in self.requestHeaders.getAllRawHeaders()
            },
            content.read(),
        )
        self._receipt = self._script.receipt
        self._event_suffix = self._script.event_suffix
        self._script.arrivals.append(self._received)
        fault = self._script.faults.pop(0) if self._script.faults else None
        self._is_over_slots = self._script.is_full
        if self._script.is_resting or self._is_over_slots:
            fault = EngineFault.DECLINE
        expected = self._received.headers.get(names.EXPECTED_INCARNATION.lower())
        is_misdirected = expected is not None and expected.decode() != self._script.name
        self._is_running = not is_misdirected and fault is not EngineFault.DECLINE
        self._received.has_run = self._is_running
        self._received.fault = fault
        self._incarnation.running += self._is_running
        if self._script.on_arrival is not None:
            self._script.on_arrival(self._received)
        channel.when_not_silent(
            lambda: self._begin_answer(fault, is_misdirected=is_misdirected)
        )

    def _send_description(self, description: dict[str, Any]) -> None:
        if self._disconnected:
            return
        body = json.dumps(description).encode()
        self.responseHeaders.setRawHeaders(
            INCARNATION_HEADER, [self._script.name.encode()]
        )
        if self._script.is_leaving:
            self.responseHeaders.setRawHeaders(names.LEAVING, [b"1"])
        self.responseHeaders.setRawHeaders(b"Content-Type", [b"application/json"])
        self.responseHeaders.setRawHeaders(b"Content-Length", [b"%d" % len(body)])
        self.write(body)
        self.finish()

    def _begin_answer(self, fault: EngineFault | None, *, is_misdirected: bool) -> None:
        channel: Any = self.channel
        if self._received.is_left:
            return
        if is_misdirected:
            self._send_head(MISDIRECTED, fault)
            self._finish_answer()
        elif fault is EngineFault.RESET:
            channel.transport.abortConnection()
        elif fault is EngineFault.FAIL:
            self._send_head(INTERNAL_SERVER_ERROR, fault)
            self._finish_answer()
        elif fault is EngineFault.DECLINE:
            self.responseHeaders.setRawHeaders(names.NOT_RUN, [b"1"])
            if self._script.rest is not None and not self._is_over_slots:
                rest = b"%g" % self._script.rest
                self.responseHeaders.setRawHeaders(names.RETRY_AFTER, [rest])
            self._send_head(SERVICE_UNAVAILABLE, fault)
            self._finish_answer()
        elif fault is not EngineFault.SILENT:
            self._start = lambda: channel.call_later(
                self._script.delay * self._script.pace(), lambda: self._answer(fault)
            )
            self._incarnation.slots.submit(self._start, self._script.slots)

    def connectionLost(self, reason: Any) -> None:
        """Record that the connection ended before the answer was complete."""
        super().connectionLost(reason)
        if self._is_received:
            self._received.is_left = True
            self._count_finished()

    def _count_finished(self) -> None:
        self._incarnation.running -= self._is_running
        self._is_running = False
        start, self._start = self._start, None
        if start is not None:
            self._incarnation.slots.end(start)

    def _answer(self, fault: EngineFault | None) -> None:
        if self._received.is_left:
            return
        channel: Any = self.channel
        if fault in {EngineFault.NO_LENGTH, EngineFault.NO_LENGTH_RESET}:
            self._send_unframed(b"200", is_reset=fault is EngineFault.NO_LENGTH_RESET)
            return
        if fault is EngineFault.ODD_STATUS:
            number = len(self._script.arrivals)
            status = ODD_STATUSES[number % len(ODD_STATUSES)]
            self._send_unframed(status, is_reset=False)
            return
        if not self._script.events:
            body = self._script.plain_answer(self._request_id, self.uri)
            self._send_head(OK, fault, len(body))
            cut = fault is EngineFault.CUT
            self.write(body[:2] if cut else body)
            if cut:
                channel.transport.abortConnection()
                return
            if fault is EngineFault.EXTRA_ANSWER:
                channel.transport.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold"
                )
            self._finish_answer()
            return
        last = self._received.headers.get(names.LAST_EVENT.lower(), b"0")
        self._send_head(OK, fault)
        self._send_event(int(last) + 1, fault)

    def _send_event(self, number: int, fault: EngineFault | None) -> None:
        channel: Any = self.channel
        if self._received.is_left:
            return
        if number > self._script.events:
            self._finish_answer()
            return
        if fault is EngineFault.CUT and number > self._script.cut_after:
            self.write(b"id: %d\nda" % number)
            channel.call_later(0.01, channel.transport.abortConnection)
            return
        word = self._request_id if self._script.echoes_request_id else b"word"
        self.write(b"id: %d\ndata: %b%b\n\n" % (number, word, self._event_suffix))
        channel.call_later(
            self._script.gap_of(self.uri),
            lambda: self._send_event(number + 1, fault),
        )

    def _send_unframed(self, status: bytes, *, is_reset: bool) -> None:
        channel: Any = self.channel
        body = self._script.plain_answer(self._request_id, self.uri)
        channel.transport.write(
            b"HTTP/1.1 %b Any\r\nConnection: close\r\n" % status
            + b"%b: %b\r\n" % (names.REQUEST_ID, self._request_id)
            + b"%b: %b\r\n\r\n%b" % (names.RECEIPT, self._receipt, body)
        )
        if is_reset:
            channel.call_later(0.01, channel.transport.abortConnection)
        else:
            channel.transport.loseConnection()

    def _send_head(
        self, status: int, fault: EngineFault | None, length: int | None = None
    ) -> None:
        self.setResponseCode(status)
        echoed = b"another" if fault is EngineFault.WRONG_ID else self._request_id
        self.responseHeaders.setRawHeaders(names.REQUEST_ID, [echoed])
        if fault is not EngineFault.NO_RECEIPT:
            self.responseHeaders.setRawHeaders(names.RECEIPT, [self._receipt])
        self.responseHeaders.setRawHeaders(names.LOAD, [b"1,0,8"])
        if self._script.is_leaving:
            self.responseHeaders.setRawHeaders(names.LEAVING, [b"1"])
        if self._script.state_headers is not None:
            for name, value in self._script.state_headers().items():
                self.responseHeaders.setRawHeaders(name, [value])
        if length is not None:
            self.responseHeaders.setRawHeaders(b"Content-Length", [b"%d" % length])
        self.write(b"")

    @property
    def _request_id(self) -> bytes:
        return self._received.headers.get(names.REQUEST_ID.lower(), b"")

    def _finish_answer(self) -> None:
        self._count_finished()
        if not self._received.is_left:
            self.finish()


class _EngineChannel(HTTPChannel):
    """A connection to the engine; its heads may be longer than those of callers."""

    requestFactory: Any = _EngineRequest
    maxHeaders = 16_384
    totalHeadersSize = 65_536

    def __init__(
        self, script: EngineScript, reactor: Any, open_channels: set[Any]
    ) -> None:
        super().__init__()
        self.script = script
        self.incarnation = script.current_incarnation
        self._reactor = reactor
        self._open_channels = open_channels
        open_channels.add(self)

    def call_later(self, seconds: float, act: Callable[[], Any]) -> None:
        """Call a function after some seconds, once the engine is not silent."""
        self._reactor.callLater(seconds, self.when_not_silent, act)

    def when_not_silent(self, act: Callable[[], Any]) -> None:
        """Call a function now, or once the engine's silence has ended."""
        remaining = self.incarnation.silent_until - self._reactor.seconds()
        if remaining > 0:
            self._reactor.callLater(remaining, self.when_not_silent, act)
        else:
            act()

    def connectionLost(self, reason: Any = connectionDone) -> None:
        """Remove the connection from the open ones."""
        self._open_channels.discard(self)
        super().connectionLost(reason)


class ScriptedEngine(ServerFactory):
    """Server factory of one engine; its connections share the script.

    Parameters
    ----------
    script : EngineScript
        Behaviour of the engine.
    reactor : Any
        Source of time and timers.
    """

    noisy = False

    def __init__(self, script: EngineScript, reactor: Any = default_reactor) -> None:
        self._script = script
        self._reactor = reactor
        self._open_channels: set[Any] = set()

    def restart(self, started_at: int | None) -> None:
        """Restart under the same name with the state of a new incarnation.

        Open connections are aborted and the faults to come are cleared. The engine
        keeps its port; a caller that moves it listens on another port with this
        factory and closes the former one.

        Parameters
        ----------
        started_at : int | None
            Start of the new incarnation in Unix milliseconds; None to report none.
        """
        self._script.current_incarnation = EngineIncarnation(started_at)
        self._script.faults.clear()
        for channel in list(self._open_channels):
            channel.transport.abortConnection()

    def fall_silent(self, seconds: float) -> None:
        """Send nothing for some seconds, as an engine does that reads a long prompt.

        Parameters
        ----------
        seconds : float
            Length of the silence in seconds.
        """
        self._script.current_incarnation.silent_until = (
            self._reactor.seconds() + seconds
        )

    def buildProtocol(self, addr: Any) -> HTTPChannel:
        """Return the protocol of a new connection.

        Parameters
        ----------
        addr : Any
            Address of the peer.

        Returns
        -------
        HTTPChannel
            The protocol.
        """
        return _EngineChannel(self._script, self._reactor, self._open_channels)

    def log(self, request: Any) -> None:
        """Write no access log.

        Parameters
        ----------
        request : Any
            The request.
        """
