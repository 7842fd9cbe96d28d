"""A framed connection between two processes of this system, with liveness checks."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.protocol import connectionDone
from twisted.protocols.basic import Int32StringReceiver

from primrosescale.clock import cancel_timer
from primrosescale.connection.codec import decode
from primrosescale.connection.codec import encode
from primrosescale.connection.exceptions import FrameError
from primrosescale.connection.link_guard import GuardedLink
from primrosescale.connection.link_guard import LinkGuard
from primrosescale.connection.wire import ttypes as wire
from primrosescale.ini.options import SECONDS
from primrosescale.ini.options import option

if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from primrosescale.clock import Clock
    from primrosescale.clock import Timer
    from primrosescale.connection.codec import Message

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 4 * 1024 * 1024
# Until the peer has introduced itself.
MAX_HELLO_BYTES = 4 * 1024
PREFIX_BYTES = 4


@dataclass(frozen=True, slots=True)
class LinkSettings:
    """Time limits of a connection."""

    ping_after: float = option(
        SECONDS,
        "seconds without a received frame, while calls are pending, until a ping",
        1.0,
    )
    silent_after: float = option(
        SECONDS,
        "seconds without a received frame, while calls are pending, until an abort",
        3.0,
    )
    hello_within: float = option(
        SECONDS,
        "seconds a peer may take to send its Hello message",
        5.0,
    )


class LinkHandler(ABC):
    """Receives the events of a connection."""

    @abstractmethod
    def link_ready(self, link: Link) -> None:
        """Handle the Hello message of the peer.

        Parameters
        ----------
        link : Link
            The connection; its ``peer`` is set.
        """

    @abstractmethod
    def link_message(self, link: Link, message: Message) -> None:
        """Handle a message.

        Parameters
        ----------
        link : Link
            The connection on which it was received.
        message : Message
            The message.
        """

    @abstractmethod
    def link_lost(self, link: Link, detail: str) -> None:
        """Handle the end of the connection.

        Parameters
        ----------
        link : Link
            The connection.
        detail : str
            Why the connection ended.
        """


class Link(Int32StringReceiver, GuardedLink):
    """Exchanges framed messages over a stream transport and detects silent peers.

    Both sides first send a Hello message. While calls are pending, a ping is
    sent when no frame arrives, and the connection is aborted when the peer
    stays silent.

    Parameters
    ----------
    own : wire.Hello
        The Hello message of this process.
    handler : LinkHandler
        Notified of messages and of the end of the connection.
    clock : Clock
        Source of time and timers.
    settings : LinkSettings
        Time limits.
    guard : LinkGuard | None
        Bounds what the peers of accepted connections take; None for one that this
        process opened.
    """

    MAX_LENGTH: int = MAX_HELLO_BYTES

    def __init__(
        self,
        own: wire.Hello,
        handler: LinkHandler,
        clock: Clock,
        settings: LinkSettings,
        guard: LinkGuard | None = None,
    ) -> None:
        self._guard = LinkGuard() if guard is None else guard
        # Joined once the frame is complete; each part would be copied with all before.
        self._parts = bytearray()
        self._missing = PREFIX_BYTES
        self._own = own
        self._handler = handler
        self._clock = clock
        self._settings = settings
        self._peer: wire.Hello | None = None
        self._received_at = clock.seconds()
        self._sequence = 0
        self._pending_calls = 0
        self._timer: Timer | None = None
        self._lost = False
        self._abort_detail = ""
        self._bytes_out = 0
        self._bytes_in = 0

    @property
    def _transport(self) -> Any:
        return self.transport

    @property
    def peer(self) -> wire.Hello | None:
        """Return the peer's Hello message; None until it is received."""
        return self._peer

    @property
    def is_lost(self) -> bool:
        """Return whether the connection has ended."""
        return self._lost

    @property
    def waiting(self) -> int:
        """Return the number of calls that wait for the peer."""
        return self._pending_calls

    @property
    def bytes_out(self) -> int:
        """Return the number of bytes of all frames sent."""
        return self._bytes_out

    @property
    def bytes_in(self) -> int:
        """Return the number of bytes of all frames received."""
        return self._bytes_in

    def connectionMade(self) -> None:
        """Send this process's Hello message and wait for the peer's."""
        if self._lost:
            # The link was aborted while the connection was being opened.
            self._transport.loseConnection()
            return
        set_no_delay = getattr(self.transport, "setTcpNoDelay", None)
        if set_no_delay is not None:
            set_no_delay(True)
        self._received_at = self._clock.seconds()
        self._guard.opened(self)
        self.send(self._own)
        self._timer = self._clock.callLater(
            self._settings.hello_within,
            self._check_hello,
        )

    def send(self, message: Message) -> None:
        """Send a message; it is discarded if the connection has ended.

        Parameters
        ----------
        message : Message
            The message.
        """
        if self._lost:
            return
        frame = encode(message)
        self._bytes_out += len(frame) + 4
        self.sendString(frame)  # type: ignore[no-untyped-call]

    def expect(self) -> None:
        """Add a pending call; the first one starts the silence check."""
        self._pending_calls += 1
        if self._pending_calls == 1:
            self._received_at = self._clock.seconds()
            self._schedule_silence_check()

    def settle(self) -> None:
        """Remove a pending call."""
        self._pending_calls = max(0, self._pending_calls - 1)

    def abandon(self, detail: str) -> None:
        """Abort the connection without waiting for the peer.

        Parameters
        ----------
        detail : str
            The reason, passed to the handler.
        """
        if self._lost:
            return
        self._abort_detail = detail
        if self.transport is not None:
            abort = getattr(self.transport, "abortConnection", None)
            if abort is None:
                self._transport.loseConnection()
            else:
                abort()
        self._report_lost(detail)

    def close(self) -> None:
        """Close the connection after pending data has been written."""
        if self.transport is None:
            self._report_lost("closed before it was open")
        elif not self._lost:
            self._transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:
        """Collect bytes until a frame is complete.

        Parameters
        ----------
        data : bytes
            Received bytes.
        """
        self._parts += data
        if len(self._parts) >= self._missing:
            collected = bytes(self._parts)
            self._parts.clear()
            super().dataReceived(collected)  # type: ignore[no-untyped-call]
            self._missing = self._missing_bytes()
        if not self._lost:
            self._guard.hold(self, len(self._parts) + len(self._rest))

    def give_way(self) -> None:
        """Abort the connection; see `GuardedLink.give_way`."""
        self.abandon("the peer holds too much without a whole frame")

    def stringReceived(self, string: bytes) -> None:
        """Decode a frame and pass its message to the handler.

        Parameters
        ----------
        string : bytes
            The payload of the frame.
        """
        if self._lost:
            return
        self._received_at = self._clock.seconds()
        self._bytes_in += len(string) + 4
        try:
            message = decode(string)
        except FrameError as error:
            self.abandon(str(error))
            return
        if self._peer is None:
            self._handle_hello(message)
        elif isinstance(message, wire.Ping):
            self.send(wire.Pong(message.sequence))
        elif not isinstance(message, wire.Pong):
            self._handler.link_message(self, message)

    def lengthLimitExceeded(self, length: int) -> None:
        """Abort the connection to a peer that sends a frame over the limit.

        Parameters
        ----------
        length : int
            Announced length of the frame, in bytes.
        """
        self.abandon(f"frame of {length} bytes is over {self.MAX_LENGTH}")

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Report the end of the connection to the handler, once.

        Parameters
        ----------
        reason : Failure
            The reason given by the transport.
        """
        self._report_lost(self._abort_detail or reason.getErrorMessage())

    @property
    def _rest(self) -> bytes:
        """Return the received part of a frame that is not complete."""
        rest: bytes = self._unprocessed
        return rest

    def _missing_bytes(self) -> int:
        """Return the bytes until the frame that is being received is complete."""
        rest = self._rest
        if len(rest) < PREFIX_BYTES:
            return PREFIX_BYTES - len(rest)
        length = int.from_bytes(rest[:PREFIX_BYTES], "big")
        return max(1, PREFIX_BYTES + length - len(rest))

    def _handle_hello(self, message: Message) -> None:
        if not isinstance(message, wire.Hello):
            self.abandon("first message is not an introduction")
            return
        if message.protocol != PROTOCOL_VERSION:
            self.abandon(f"protocol {message.protocol} is not {PROTOCOL_VERSION}")
            return
        self._peer = message
        self.MAX_LENGTH = MAX_FRAME_BYTES
        self._guard.introduced(self)
        self._cancel_timer()
        if self._pending_calls:
            self._schedule_silence_check()
        self._handler.link_ready(self)

    def _check_hello(self) -> None:
        self._timer = None
        if self._peer is None:
            self.abandon("peer did not introduce itself in time")

    def _schedule_silence_check(self) -> None:
        if self._timer is None and not self._lost:
            self._timer = self._clock.callLater(
                self._settings.ping_after,
                self._check_silence,
            )

    def _check_silence(self) -> None:
        self._timer = None
        if not self._pending_calls or self._lost:
            return
        silence_seconds = self._clock.seconds() - self._received_at
        if silence_seconds >= self._settings.silent_after:
            self.abandon(f"silent for {silence_seconds:.1f} s")
            return
        if silence_seconds >= self._settings.ping_after:
            self._sequence += 1
            self.send(wire.Ping(self._sequence))
        self._schedule_silence_check()

    def _cancel_timer(self) -> None:
        timer, self._timer = self._timer, None
        cancel_timer(timer)

    def _report_lost(self, detail: str) -> None:
        if self._lost:
            return
        self._lost = True
        self._guard.lost(self)
        self._parts.clear()
        self._cancel_timer()
        self._handler.link_lost(self, detail)
