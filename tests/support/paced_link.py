"""A store reached over a slow link, on the virtual clock."""

from __future__ import annotations

import json
from types import SimpleNamespace
from urllib.parse import parse_qs
from urllib.parse import urlsplit

from twisted.internet.error import ConnectionAborted
from twisted.internet.error import ConnectionLost
from twisted.internet.testing import MemoryReactorClock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

TICK = 0.002


def http_answer(body):
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


class LinkedTransport(StringTransport):
    """The client's end of a connection; received bytes wait while it is paused."""

    def __init__(self, reactor):
        super().__init__()
        self.reactor = reactor
        self.protocol = None
        self.in_flight = b""
        self.buffered = b""
        self.is_lost = False
        self.bufferSize = 65536

    def getHandle(self):
        return SimpleNamespace(setsockopt=lambda *_: None)

    def abortConnection(self):
        self.reactor.callLater(0, self.lose, ConnectionAborted())

    def lose(self, error=None):
        """Lose the connection."""
        if not self.is_lost:
            self.is_lost = True
            self.in_flight = self.buffered = b""
            self.protocol.connectionLost(Failure(error or ConnectionLost()))

    def arrive(self, count, buffer):
        """Let bytes arrive, as far as the kernel's buffer takes them; return how many.

        The protocol reads what is buffered unless it has paused reading.
        """
        count = min(count, buffer - len(self.buffered))
        arrived, self.in_flight = self.in_flight[:count], self.in_flight[count:]
        self.buffered += arrived
        while self.buffered and self.producerState == "producing":
            size = self.bufferSize
            portion, self.buffered = self.buffered[:size], self.buffered[size:]
            self.reactor.portions.append((self.reactor.seconds(), len(portion)))
            self.protocol.dataReceived(portion)
        return len(arrived)


class SlowLink(MemoryReactorClock):
    """A reactor whose connections share one link.

    Parameters
    ----------
    rate : float
        Rate of the link in bytes a second.
    buffer : int
        Bytes of a connection that the kernel receives while reading is paused.
    """

    def __init__(self, rate, buffer=65536):
        super().__init__()
        self.rate = rate
        self.buffer = buffer
        self.connections = []
        self.portions = []
        self.on_turn = lambda: None

    def connectTCP(self, host, port, factory, *_):
        transport = LinkedTransport(self)
        transport.protocol = factory.buildProtocol(None)
        self.connections.append(transport)
        self.callLater(0, transport.protocol.makeConnection, transport)

    def run(self, seconds):
        """Let time pass, and bytes arrive at the rate of the link."""
        end = self.seconds() + seconds
        while self.seconds() < end:
            self.advance(TICK)
            self.on_turn()
            budget = int(self.rate * TICK)
            for connection in self.connections:
                budget -= connection.arrive(budget, self.buffer)


class SlowStore:
    """Answers lists and watches of one object that has many versions.

    Parameters
    ----------
    link : SlowLink
        The link to its clients.
    """

    def __init__(self, link):
        self.link = link
        self.revision = 1
        self.fields = None
        self.waiting = []
        link.on_turn = self.serve

    def write(self, fields):
        """Store a version; it is acknowledged at once."""
        self.revision += 1
        self.fields = fields

    def serve(self):
        """Answer what has been asked, as far as there is an answer."""
        now = self.link.seconds()
        for connection in self.link.connections:
            request = connection.value()
            connection.clear()
            if request:
                path = request.split(b" ", 2)[1].decode()
                query = parse_qs(urlsplit(path).query)
                since = int(query.get("watch", ["0"])[0])
                wait = int(query.get("wait_ms", ["0"])[0]) / 1000
                self.waiting.append((connection, path, since, now + wait))
        pending, self.waiting = self.waiting, []
        for asked in pending:
            if not self.answer(*asked, now):
                self.waiting.append(asked)

    def answer(self, connection, path, since, until, now):
        """Answer a request if it is time to; return whether it was answered."""
        found = []
        if "/config" in path and self.fields is not None and since < self.revision:
            meta = {"name": "main", "revision": self.revision}
            found = [{"metadata": meta, "spec": self.fields}]
        if since and not found and now < until:
            return False
        listed = {"events": [{"object": item} for item in found], "items": found}
        answer = {**listed, "current_rev": self.revision, "truncated": False}
        if not since:
            del answer["events"]
        else:
            del answer["items"]
        connection.in_flight += http_answer(json.dumps(answer).encode())
        return True
