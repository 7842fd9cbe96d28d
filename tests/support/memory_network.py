"""In-memory connections between processes, with fault injection."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.error import ConnectionLost
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from primrosescale.connection.dialer import Dialer
from primrosescale.connection.exceptions import DialError

if TYPE_CHECKING:
    from primrosescale.connection.endpoint import Endpoint

LATENCY_SECONDS = 0.001
DIAL_TIMEOUT_SECONDS = 1.0


class Pipe:
    """One direction of a connection."""

    def __init__(self, network, source, sink):
        self.network = network
        self.source = source
        self.sink = sink
        self.is_silent = False
        self.extra_delay = 0.0
        self.last_due = 0.0

    def carry(self, data):
        """Deliver bytes in order after a delay, unless the direction is silent."""
        if self.is_silent or self.network.is_cut(self.source, self.sink):
            return
        clock = self.network.clock
        due = max(clock.seconds() + LATENCY_SECONDS + self.extra_delay, self.last_due)
        self.last_due = due
        clock.callLater(due - clock.seconds(), self.sink.deliver, data)


class MemoryTransport:
    """One end of a connection."""

    disconnecting = False

    def __init__(self, network, owner):
        self.network = network
        self.owner = owner
        self.protocol = None
        self.pipe = None
        self.other = None
        self.is_closed = False

    def write(self, data):
        if not self.is_closed:
            self.network.observe(self, data)
            self.pipe.carry(bytes(data))

    def writeSequence(self, parts):
        self.write(b"".join(parts))

    def setTcpNoDelay(self, enabled):
        pass

    def deliver(self, data):
        if not self.is_closed and not self.network.is_frozen(self.owner):
            self.protocol.dataReceived(data)
        elif not self.is_closed:
            self.network.hold(self.owner, lambda: self.deliver(data))

    def loseConnection(self):
        self._close(ConnectionDone())

    def abortConnection(self):
        self._close(ConnectionLost())

    def _close(self, reason):
        if self.is_closed:
            return
        self.is_closed = True
        clock = self.network.clock
        clock.callLater(0, self.protocol.connectionLost, Failure(reason))
        silent = self.pipe.is_silent or self.network.is_cut(self, self.other)
        if not silent:
            due = max(self.pipe.last_due - clock.seconds(), 0.0) + LATENCY_SECONDS
            clock.callLater(due, self.other.peer_closed)

    def peer_closed(self):
        if not self.is_closed:
            self.is_closed = True
            self.protocol.connectionLost(Failure(ConnectionDone()))


class MemoryNetwork:
    """All connections of a test and the faults injected into them."""

    def __init__(self, clock=None):
        self.clock = clock or Clock()
        self.listening = {}
        self.owners = {}
        self.transports = []
        self.cuts = set()
        self.frozen = set()
        self.held = {}
        self.dead = set()
        self.next_port = 1000
        self.on_frame = []
        self.on_dial = []

    def listen(self, owner, factory, port=0):
        """Accept connections for a process; return the port."""
        if not port:
            self.next_port += 1
            port = self.next_port
        self.listening[port] = (owner, factory)
        return port

    def owner_at(self, port):
        found = self.listening.get(port)
        return found[0] if found else ""

    def close(self, port):
        self.listening.pop(port, None)

    def is_cut(self, one, other):
        pair = frozenset((one.owner, other.owner))
        return pair in self.cuts or bool({one.owner, other.owner} & self.dead)

    def cut(self, one, other):
        """Silently drop all bytes between two processes, in both directions."""
        self.cuts.add(frozenset((one, other)))

    def heal(self):
        self.cuts.clear()

    def silence(self, sender, receiver):
        """Permanently drop the bytes of open connections in one direction."""
        for transport in self.transports:
            if transport.owner == sender and transport.other.owner == receiver:
                transport.pipe.is_silent = True

    def delay(self, sender, receiver, seconds):
        """Delay the bytes of open connections in one direction."""
        for transport in self.transports:
            if transport.owner == sender and transport.other.owner == receiver:
                transport.pipe.extra_delay = seconds

    def kill(self, owner):
        """Kill a process; its connections carry nothing more and are not closed."""
        self.dead.add(owner)
        for port, (name, _) in list(self.listening.items()):
            if name == owner:
                del self.listening[port]

    def reset_peers_of(self, owner):
        """Close the connections at the peers of a killed process, as its host would."""
        for transport in self.transports:
            if transport.owner == owner and not transport.other.is_closed:
                transport.is_closed = True
                self.clock.callLater(LATENCY_SECONDS, transport.other.peer_closed)

    def freeze(self, owner):
        self.frozen.add(owner)

    def is_frozen(self, owner):
        return owner in self.frozen

    def hold(self, owner, act):
        self.held.setdefault(owner, []).append(act)

    def thaw(self, owner):
        self.frozen.discard(owner)
        for act in self.held.pop(owner, []):
            act()

    def observe(self, transport, data):
        for watch in self.on_frame:
            watch(transport.owner, transport.other.owner, data)

    def connect(self, owner, endpoint, protocol):
        found = self.listening.get(endpoint.port)
        if found is None or owner in self.dead:
            return None
        name, factory = found
        if frozenset((owner, name)) in self.cuts or name in self.dead:
            return None
        near = MemoryTransport(self, owner)
        far = MemoryTransport(self, name)
        near.other, far.other = far, near
        near.pipe = Pipe(self, near, far)
        far.pipe = Pipe(self, far, near)
        near.protocol = protocol
        far.protocol = factory.buildProtocol(None)
        self.transports += [near, far]
        far.protocol.makeConnection(far)
        near.protocol.makeConnection(near)
        return near


class MemoryDialer(Dialer):
    """Opens connections on an in-memory network."""

    def __init__(self, network, owner):
        self.network = network
        self.owner = owner

    def dial(self, endpoint: Endpoint, link):
        result = Deferred()
        for watch in self.network.on_dial:
            watch(self.owner, endpoint)

        def open_now():
            found = self.network.connect(self.owner, endpoint, link)
            if found is None:
                refused = DialError(str(endpoint), "refused")
                wait = (
                    0.0
                    if endpoint.port not in self.network.listening
                    else DIAL_TIMEOUT_SECONDS
                )
                self.network.clock.callLater(wait, result.errback, Failure(refused))
            else:
                result.callback(link)

        self.network.clock.callLater(LATENCY_SECONDS, open_now)
        return result
