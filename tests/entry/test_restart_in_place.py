"""A harmful request whose target is started again where it was.

What was seen: a request that ends each target was held back as long as the next
target listened elsewhere. Where a supervisor started it again at the same address at
once, the request went on to reach targets, fifty times in twenty seconds.

How it came about: after a lost answer the router opened a connection, it was taken
by the next process, and the router went by it as a sign that the target had not
ended. Neither the entry that went nor the later start that was told found anybody.

Cause: a connection says that somebody listens at an address, never who.

What proved it: here, over sockets, with each way in which a target may come back.
The same request arrives at targets after all routers should know it.
"""

from __future__ import annotations

from twisted.internet import reactor
from twisted.internet.protocol import Protocol
from twisted.internet.protocol import ServerFactory

from entry.test_harmful_requests import HarmfulRequestTest
from support.entry_site import LOOPBACK

# Until the entry of the target that ended is gone, and that of the next one is there.
LAPSE_SECONDS = 1.0
LISTED_SECONDS = 3.0
FIRST_START = 1_790_000_000_000


class _Closing(Protocol):
    """Takes a connection and resets it as soon as something comes."""

    def dataReceived(self, data):
        self.transport.abortConnection()


class _Proxy(ServerFactory):
    noisy = False
    protocol = _Closing


class InPlaceTest(HarmfulRequestTest):
    """The next process listens at the same address at once, under another id."""

    def replace(self, target):
        self.begin_next(target)

    def begin_next(self, target):
        name = target.script.name
        target.script.name = self.next_name()
        target.engine.restart(None)
        reactor.callLater(LAPSE_SECONDS, self.store.remove, "servers", name)
        reactor.callLater(
            LISTED_SECONDS,
            self.store.write,
            "servers",
            target.script.name,
            target.entry(),
        )


class SameNameTest(HarmfulRequestTest):
    """The next process has the same id and address, and tells a later start."""

    def first_entry(self, target):
        return target.entry(born=FIRST_START)

    def replace(self, target):
        start = FIRST_START + target.incarnation
        target.engine.restart(start)
        reactor.callLater(
            LAPSE_SECONDS,
            self.store.write,
            "servers",
            target.script.name,
            target.entry(born=start),
        )


class ListensAgainTest(InPlaceTest):
    """The next process listens at the same address a little later."""

    pause = 0.1

    def replace(self, target):
        target.port.stopListening()
        target.engine.restart(None)
        reactor.callLater(self.pause, self.listen_again, target)

    def listen_again(self, target):
        target.port = reactor.listenTCP(
            target.number, target.engine, interface=LOOPBACK
        )
        self.addCleanup(target.port.stopListening)
        self.begin_next(target)


class ListensLaterTest(ListensAgainTest):
    """The next process listens at the same address after a second."""

    pause = 1.0


class ProxyTest(ListensAgainTest):
    """A proxy takes connections for a target that is not there, and resets them."""

    pause = 0.5

    def replace(self, target):
        target.port.stopListening()
        target.engine.restart(None)
        reactor.callLater(0, self.stand_in, target)

    def stand_in(self, target):
        proxy = reactor.listenTCP(target.number, _Proxy(), interface=LOOPBACK)
        self.addCleanup(proxy.stopListening)
        reactor.callLater(self.pause, self.give_way, target, proxy)

    def give_way(self, target, proxy):
        closed = proxy.stopListening()
        closed.addCallback(lambda _: self.listen_again(target))


class AnswersFirstTest(HarmfulRequestTest):
    """A target answers whole at once and ends just after, each time."""

    def arrived(self, target, arrival):
        target.script.delay = target.script.gap = 0.0
        super().arrived(target, arrival)


# Loaded on their own already.
del HarmfulRequestTest
