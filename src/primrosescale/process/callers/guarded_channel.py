"""A connection of a caller that is bounded in memory and processor time."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.protocol import connectionDone
from twisted.web.http import HTTPChannel

from primrosescale.clock import cancel_timer
from primrosescale.connection.early_listener import RECEIVE_BUFFER_BYTES
from primrosescale.connection.memory_account import MemoryHolder
from primrosescale.connection.unsent import discard_unsent
from primrosescale.connection.unsent import undelivered_bytes
from primrosescale.connection.unsent import unsent_bytes
from primrosescale.process.callers.body_admission import BodyReceiver
from primrosescale.process.callers.open_connections import OpenConnection
from primrosescale.process.callers.turn_queue import TurnTaker

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python.failure import Failure

    from primrosescale.clock import Timer
    from primrosescale.process.callers.caller_guard import CallerGuard
    from primrosescale.process.callers.caller_port import CallerPort

# Read at once where each byte may be a line or a chunk of its own.
HEAD_READ_BYTES = 4 * 1024
# Read at once of a body with a known length.
BODY_READ_BYTES = 64 * 1024
# Receive buffer of a connection whose long body is being read, in bytes. The usual one
# would limit its rate over links with a long delay.
BODY_BUFFER_BYTES = 128 * 1024
# Bytes that the kernel holds of a connection that is not read: twice the buffer.
UNREAD_BYTES = 2 * RECEIVE_BUFFER_BYTES
# Bytes of an answer that may be unsent before its source is paused.
ANSWER_BYTES = 16 * 1024
# Memory taken by a connection without a request, and by a field of a head in addition
# to its bytes.
CONNECTION_BYTES = 4 * 1024
FIELD_BYTES = 200
# The shortest field is "a:" and the end of its line.
SHORTEST_FIELD_BYTES = 4

BAD_REQUEST = (
    b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
HEAD_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)


class GuardedChannel(
    HTTPChannel, MemoryHolder, TurnTaker, BodyReceiver, OpenConnection
):
    """A connection of a caller.

    It counts what it holds, waits for its turn after it has sent many small pieces
    or requests, and for room before it sends a long body.

    One that is refused before its request has been received is read on for a limited
    time, so that its client, which may still send, can read the refusal.

    Parameters
    ----------
    guard : CallerGuard
        Limits over all connections of the process.
    caller_port : CallerPort
        Where it was accepted.
    """

    # Replaced by a limit that does not cut clients which read slowly.
    abortTimeout: Any = None

    def __init__(self, guard: CallerGuard, caller_port: CallerPort) -> None:
        super().__init__()
        self._guard = guard
        self._caller_port = caller_port
        self._holding = guard.account.open(self, CONNECTION_BYTES)
        # Bytes taken of the memory for requests that are being answered.
        self._request_bytes = 0
        self._has_memory = True
        self._pieces = 0
        self._body_buffer_bytes = RECEIVE_BUFFER_BYTES
        self._awaits_turn = False
        self._awaits_room = False
        self._owes_continue = False
        self._is_refusing = False
        self._is_discarding = False
        self._abort_timer: Timer | None = None
        self._undelivered = 0
        self._is_lost = False

    @property
    def guard(self) -> CallerGuard:
        """Return the limits over all connections of the process."""
        return self._guard

    @property
    def request_line(self) -> tuple[bytes, bytes, bytes]:
        """Return method, path and version of the request that is being received."""
        path: Any = self._path
        return self._command, path, self._version

    @property
    def is_discarding(self) -> bool:
        """Return whether the rest of a refused request is being discarded."""
        return self._is_discarding

    @property
    def has_memory(self) -> bool:
        """Return whether there is memory for the request that was received."""
        return self._has_memory

    @property
    def is_waiting(self) -> bool:
        """Return whether nothing is read until a turn or room is given."""
        return self._awaits_turn or self._awaits_room

    def connectionMade(self) -> None:
        """Limit what is read at once."""
        self._set_read_size(HEAD_READ_BYTES)
        super().connectionMade()
        self._caller_port.connections.opened(self)
        self._caller_port.accepted()

    def dataReceived(self, data: bytes) -> None:
        """Parse received bytes, and count what is held afterwards.

        Parameters
        ----------
        data : bytes
            Received bytes.
        """
        if self._is_discarding:
            self._wait_for_turn()
            return
        # Bytes of a body with a known length cost little, whatever they are.
        if data and (self.line_mode or not self.length):
            self._pieces += 1 + data.count(b"\n")
            if self._pieces > self._guard.settings.pieces:
                self._wait_for_turn()
        super().dataReceived(data)
        if self._is_discarding or self._transport.disconnecting:
            return
        request = self.requests[-1] if self.requests else None
        if request is not None and request.is_long:
            now = self._guard.clock.seconds()
            self._guard.bodies.progressed(self, request.body_bytes, now)
        self._count()

    def rawDataReceived(self, data: bytes) -> None:
        """Receive bytes of a body, or of requests that are sent ahead.

        Parameters
        ----------
        data : bytes
            The bytes.
        """
        if self._is_discarding:
            return
        super().rawDataReceived(data)
        decoder: Any = self._transferDecoder
        if decoder is not None and self.length is None:
            # Nothing reads the trailers, which would be kept until the end of the body.
            del decoder._trailerHeaders[:]  # noqa: SLF001

    def allHeadersReceived(self) -> None:
        """Read a body of a known length in larger parts."""
        if self.length:
            self._set_read_size(BODY_READ_BYTES)
        super().allHeadersReceived()

    def accepts_body(self, size: int) -> bool:
        """Return whether a body is read at once.

        Parameters
        ----------
        size : int
            Bytes of the body.

        Returns
        -------
        bool
            False for a long body, and for one that there is no memory for now.
        """
        is_short = size <= self._guard.settings.long_body
        return is_short and self._guard.requests.accepts(self._bytes_with_copies(size))

    def allContentReceived(self) -> None:
        """Count a complete request until it has been answered."""
        if self._is_discarding:
            return
        request = self.requests[-1]
        size = self._bytes_with_copies(request.body_bytes)
        if request.is_long:
            self._guard.bodies.completed(self, self._room_bytes(request.body_bytes))
            self._has_memory = True
        else:
            self._has_memory = self._guard.requests.accepts(size)
            if self._has_memory:
                self._take_request_bytes(size)
        if self._body_buffer_bytes > RECEIVE_BUFFER_BYTES:
            self._set_receive_buffer(RECEIVE_BUFFER_BYTES)
        self._pieces = 0
        self._caller_port.connections.request_received(self)
        self._set_read_size(ANSWER_BYTES)
        super().allContentReceived()

    def body_sent(self) -> None:
        """Count a body once: its copies have been sent to a target."""
        request = self.requests[0]
        if request.is_long:
            held = request.body_bytes + 2 * self._body_buffer_bytes
            self._guard.bodies.completed(self, held)
        else:
            self._take_request_bytes(request.body_bytes)

    def requestDone(self, request: Any) -> None:
        """Release what the request held; one that was sent ahead waits for its turn.

        Parameters
        ----------
        request : Any
            The request that has been answered.
        """
        self._release_request()
        self._caller_port.connections.request_answered(self)
        # After a body Twisted adds what follows it, which may be empty.
        is_ahead = any(self._dataBuffer) or bool(self._buffer)
        if self._is_refusing:
            is_ahead = False
        else:
            self._set_read_size(HEAD_READ_BYTES)
        if is_ahead:
            # Keeps the parser from processing it before its turn.
            self._awaits_turn = self.paused = True
        super().requestDone(request)
        if is_ahead and not self._transport.disconnecting:
            self._wait_for_turn()
            self._count()

    def pauseProducing(self) -> None:
        """Pause the answer, and count what its client has not read."""
        super().pauseProducing()
        self._holding.leave_unsent(unsent_bytes(self._transport))
        self._caller_port.connections.blocked(self)
        self._guard.account.reclaim()

    def resumeProducing(self) -> None:
        """Resume the answer, and reading unless the connection waits."""
        self._holding.leave_unsent(0)
        self._caller_port.connections.unblocked(self)
        super().resumeProducing()
        if self.is_waiting:
            self._network.pauseProducing()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Release everything that the connection held.

        Parameters
        ----------
        reason : Failure
            Reason given by the transport.
        """
        self._is_lost = True
        cancel_timer(self._abort_timer)
        self._abort_timer = None
        self._caller_port.connections.closed(self)
        self._guard.turns.discard(self)
        self._guard.left(self)
        self._release_request()
        incomplete = [] if self._handlingRequest else list(self.requests)
        super().connectionLost(reason)
        self._holding.close()
        # Reference cycles keep all of this until the next garbage collection.
        for request in incomplete:
            request.discard()
        self.clearLineBuffer()
        self._dataBuffer = []
        discard_unsent(self._transport)

    def loseConnection(self) -> None:
        """Close the connection, as soon as the client has read what was sent.

        After a refusal, what the client still sends is received first.
        """
        if self._is_refusing and not self._is_discarding:
            self._linger()
            return
        super().loseConnection()
        # It is lost at once if the router has closed its side already.
        if not self._is_lost:
            self._watch_close()

    def lineLengthExceeded(self, line: bytes) -> None:
        """Refuse a head with an overlong line.

        Parameters
        ----------
        line : bytes
            The received part of the line.
        """
        self._refuse_unparsed(HEAD_TOO_LARGE)

    def enter_long_body(self, size: int) -> None:
        """Reserve room for the body that is being received, and wait for it.

        Parameters
        ----------
        size : int
            Longest possible body in bytes.
        """
        if size > self._guard.settings.long_body:
            self._body_buffer_bytes = BODY_BUFFER_BYTES
        room = self._guard.ask_for_room(self, self._room_bytes(size))
        if room is None:
            self.requests[-1].refuse_for_memory()
        elif room:
            self._set_receive_buffer(self._body_buffer_bytes)
        else:
            self._awaits_room = True
            self._hold()

    def room_granted(self) -> None:
        """Read the body; see `BodyReceiver.room_granted`."""
        self._awaits_room = False
        self._set_receive_buffer(self._body_buffer_bytes)
        if self._owes_continue:
            self._owes_continue = False
            self._send100Continue()
        self._proceed()

    def room_refused(self) -> None:
        """Refuse the request; see `BodyReceiver.room_refused`."""
        self._awaits_room = False
        if self.requests:
            self.requests[-1].refuse_for_memory()

    def take_turn(self) -> None:
        """Parse what has been received; see `TurnTaker.take_turn`."""
        self._awaits_turn = False
        self._proceed()

    def give_way(self) -> None:
        """Refuse the request being received; see `MemoryHolder.give_way`."""
        self._awaits_room = False
        request = self.requests[-1] if self.requests else None
        if request is None or self._handlingRequest or not request.has_head:
            self._abort()
        else:
            request.refuse_for_memory()

    def read_now(self) -> None:
        """Read what has been received; see `OpenConnection.read_now`."""
        if not (self.is_waiting or self._is_discarding or self._is_lost):
            self._transport.doRead()

    def make_room(self) -> None:
        """Close the connection; see `OpenConnection.make_room`."""
        self._abort()

    def refuse_early(self, answer: Callable[[], None]) -> None:
        """Answer a request whose body has not been received, and read no more of it.

        Parameters
        ----------
        answer : Callable[[], None]
            Sends the complete answer.
        """
        self._is_refusing = True
        # The end of the answer ends the connection; see `loseConnection`.
        self.persistent: Any = False
        answer()

    def _send100Continue(self) -> None:
        if self._is_refusing:
            return
        if self._awaits_room:
            self._owes_continue = True
            return
        super()._send100Continue()

    @property
    def _transport(self) -> Any:
        return self.transport

    @property
    def _network(self) -> Any:
        return self._networkProducer

    def _respondToBadRequestAndDisconnect(self) -> None:
        is_too_large = (
            self._receivedHeaderSize > self.totalHeadersSize
            or self._receivedHeaderCount > self.maxHeaders
        )
        self._refuse_unparsed(HEAD_TOO_LARGE if is_too_large else BAD_REQUEST)

    def _refuse_unparsed(self, answer: bytes) -> None:
        """Refuse what cannot be parsed, and read no more of it."""
        if self._is_refusing:
            return
        self._is_refusing = True
        self._transport.write(answer)
        self.loseConnection()

    def _count(self) -> None:
        """Count what is held of what the client sends."""
        ahead = sum(map(len, self._dataBuffer))
        size = self._head_bytes() + len(self._buffer) + ahead
        request = self.requests[-1] if self.requests else None
        if request is not None and not (self._handlingRequest or request.is_long):
            size += request.body_bytes
        if self.is_waiting or ahead > self._optimisticEagerReadSize:
            size += UNREAD_BYTES
        self._holding.receive(size)
        account = self._guard.account
        if account.used > account.limit:
            account.reclaim()

    def _head_bytes(self) -> int:
        return int(self._receivedHeaderSize + FIELD_BYTES * self._receivedHeaderCount)

    def _bytes_with_copies(self, body_bytes: int) -> int:
        return self._head_bytes() + self._guard.settings.body_copies * body_bytes

    def _room_bytes(self, body_bytes: int) -> int:
        """Return what counts for a body that needs room, with what the kernel holds."""
        return self._bytes_with_copies(body_bytes) + 2 * self._body_buffer_bytes

    def _take_request_bytes(self, size: int) -> None:
        self._guard.requests.release(self._request_bytes)
        self._guard.requests.take(size)
        self._request_bytes = size

    def _release_request(self) -> None:
        """Release what the request held, whether it is complete or not."""
        self._take_request_bytes(0)
        self._guard.bodies.left(self)
        self._body_buffer_bytes = RECEIVE_BUFFER_BYTES

    def _set_read_size(self, size: int) -> None:
        self._transport.bufferSize = size

    def _set_receive_buffer(self, size: int) -> None:
        handle: socket.socket = self._transport.getHandle()
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)

    def _wait_for_turn(self) -> None:
        self._awaits_turn = True
        self._hold()
        self._guard.turns.add(self)

    def _hold(self) -> None:
        self.paused = True
        self._network.pauseProducing()

    def _proceed(self) -> None:
        """Parse what was received before the wait, and then read on."""
        if self.is_waiting:
            return
        self.paused = False
        if self._buffer and not self._is_discarding:
            self.dataReceived(b"")
        # While a request is answered, reading on shows whether its client has gone.
        ahead = sum(map(len, self._dataBuffer))
        is_full = self._waitingForTransport or ahead > self._optimisticEagerReadSize
        if self._is_discarding or not (is_full or self.is_waiting):
            self._network.resumeProducing()

    def _linger(self) -> None:
        """Send no more, and discard what still comes, for a limited time."""
        self._is_discarding = True
        self._awaits_room = False
        self._release_request()
        self.clearLineBuffer()
        self._dataBuffer = []
        self._holding.receive(UNREAD_BYTES)
        self.setTimeout(None)
        self._abort_in(self._guard.settings.linger_seconds, self._abort)
        self._set_read_size(BODY_READ_BYTES)
        self._network.unregisterProducer()
        self._transport.loseWriteConnection()
        self._guard.lingers(self)
        if not self.is_waiting:
            self._transport.resumeProducing()

    def _watch_close(self) -> None:
        """Abort the connection if its client does not read the rest of an answer."""
        self._undelivered = undelivered_bytes(self._transport)
        self._abort_in(self._guard.settings.close_seconds, self._check_close)

    def _check_close(self) -> None:
        if undelivered_bytes(self._transport) < self._undelivered:
            self._watch_close()
        else:
            self._abort()

    def _abort_in(self, seconds: float, action: Callable[[], None]) -> None:
        cancel_timer(self._abort_timer)
        if not self._is_lost:
            self._abort_timer = self._guard.clock.callLater(seconds, action)

    def _abort(self) -> None:
        cancel_timer(self._abort_timer)
        self._abort_timer = None
        self._transport.abortConnection()
