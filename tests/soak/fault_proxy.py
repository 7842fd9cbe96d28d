"""A loopback TCP proxy that delays, holds back or resets its connections.

Bytes that were held back are delivered when the fault ends, as TCP does after a
network partition; no bytes are lost from the middle of a connection.
"""

from __future__ import annotations

import socket
import struct
from collections import deque
from enum import Enum

from twisted.internet import reactor
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.endpoints import connectProtocol
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol

LOOPBACK = "127.0.0.1"
CONNECT_TIMEOUT_SECONDS = 5
# Measured at targets that have as many connections as they accept.
RESET_AFTER_SECONDS = 0.004


class LinkFault(Enum):
    """Fault of all connections of a proxy."""

    NONE = "none"
    DELAY = "delay"
    SILENT = "silent"
    ONE_WAY = "one way"
    RESET = "reset"


class _Direction:
    """Forwards the bytes of one direction of a connection."""

    def __init__(self, proxy, is_answer):
        self._proxy = proxy
        self._is_answer = is_answer
        self._held_back = deque()
        self.destination = None

    def forward(self, data):
        if self._proxy.fault is LinkFault.DELAY:
            self._held_back.append(data)
            reactor.callLater(self._proxy.delay, self.flush_one)
        elif (
            self._proxy.is_held(self._is_answer)
            or self._held_back
            or not self.destination
        ):
            self._held_back.append(data)
        else:
            self._send(data)

    def flush_one(self):
        if (
            self._held_back
            and not self._proxy.is_held(self._is_answer)
            and self.destination
        ):
            self._send(self._held_back.popleft())

    def flush(self):
        while self._held_back and self.destination:
            self._send(self._held_back.popleft())

    def _send(self, data):
        if data is None:
            self.destination.transport.loseConnection()
        else:
            self.destination.transport.write(data)


class _ProxyEnd(Protocol):
    """One end of a proxied connection."""

    def __init__(self, proxy, direction):
        self._proxy = proxy
        self._direction = direction

    def dataReceived(self, data):
        self._direction.forward(data)

    def connectionLost(self, reason=None):
        self._direction.forward(None)
        self._proxy.end_closed(self)


class _ExcessConnection(Protocol):
    """A connection that is reset shortly after it was opened."""

    def connectionMade(self):
        handle = self.transport.getHandle()
        # Without lingering, the end of the connection is a reset.
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        reactor.callLater(RESET_AFTER_SECONDS, self.transport.abortConnection)


class FaultProxy(Factory):
    """Proxy in front of one port; all its connections have the same fault.

    `accepts` returns whether a connection is accepted, given the number of open ones.
    """

    noisy = False

    def __init__(self, port, accepts=lambda _: True):
        self._accepts = accepts
        self._open_callers = set()
        self._target = TCP4ClientEndpoint(
            reactor, LOOPBACK, port, CONNECT_TIMEOUT_SECONDS
        )
        self._directions = []
        self.open_ends = set()
        self.fault = LinkFault.NONE
        self.delay = 0.0
        self._listener = reactor.listenTCP(0, self, interface=LOOPBACK)
        self.port = self._listener.getHost().port

    def is_held(self, is_answer):
        return self.fault is LinkFault.SILENT or (
            self.fault is LinkFault.ONE_WAY and is_answer
        )

    def buildProtocol(self, addr):
        if not self._accepts(len(self._open_callers)):
            return _ExcessConnection()
        to_target, to_caller = (
            _Direction(self, is_answer=False),
            _Direction(self, is_answer=True),
        )
        self._directions += [to_target, to_caller]
        caller = _ProxyEnd(self, to_target)
        self._open_callers.add(caller)
        target = _ProxyEnd(self, to_caller)
        to_caller.destination = caller
        self.open_ends.add(caller)
        connecting = connectProtocol(self._target, target)

        def connected(_):
            self.open_ends.add(target)
            if self.fault is LinkFault.RESET:
                target.transport.abortConnection()
            to_target.destination = target
            if not self.is_held(is_answer=False):
                to_target.flush()

        def failed(_):
            caller.transport.abortConnection()

        connecting.addCallbacks(connected, failed)
        return caller

    def end_closed(self, end):
        """Forget a closed end of a connection."""
        self.open_ends.discard(end)
        self._open_callers.discard(end)

    def set(self, fault, delay=0.0):
        """Set the fault of all present and new connections."""
        self.fault, self.delay = fault, delay
        if fault is LinkFault.RESET:
            self.reset()
        elif fault is LinkFault.NONE:
            for direction in self._directions:
                direction.flush()
            self._directions = [
                direction
                for direction in self._directions
                if direction.destination in self.open_ends
            ]

    def reset(self):
        """Reset all open connections."""
        for end in list(self.open_ends):
            end.transport.abortConnection()

    def reset_callers(self):
        """Reset the open connections of callers; what they sent is still delivered."""
        for end in list(self._open_callers):
            end.transport.abortConnection()

    def close(self):
        self.reset()
        return self._listener.stopListening()
