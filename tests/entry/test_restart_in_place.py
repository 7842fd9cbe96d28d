"""A harmful request whose target is restarted at the same address.

Guards against taking an accepted probe connection as proof that the target has not
ended: when a supervisor restarts the target immediately at the same address, the next
process accepts the connection. A connection shows that something listens at an address,
not which process. In one incident, the request reached targets fifty times in twenty
seconds, and neither the removed entry nor the later start time corrected it.

The tests cover each way in which a target may return.
"""

from __future__ import annotations

from twisted.internet import reactor
from twisted.internet.protocol import Protocol
from twisted.internet.protocol import ServerFactory

from entry.test_harmful_requests import HarmfulRequestTest
from support.entry_site import LOOPBACK

# Time until the entry of the ended target is removed, and until the next one is listed.
ENTRY_REMOVAL_SECONDS = 1.0
ENTRY_LISTED_SECONDS = 3.0
FIRST_START = 1_790_000_000_000


class _ResettingProtocol(Protocol):
    """Accepts a connection and resets it when data arrives."""

    def dataReceived(self, data):
        self.transport.abortConnection()


class _Proxy(ServerFactory):
    noisy = False
    protocol = _ResettingProtocol


class InPlaceTest(HarmfulRequestTest):
    """The next process listens immediately at the same address, with a new id."""

    def replace(self, target):
        self.begin_next(target)

    def begin_next(self, target):
        name = target.script.name
        target.script.name = self.next_name()
        target.engine.restart(None)
        reactor.callLater(ENTRY_REMOVAL_SECONDS, self.store.remove, "servers", name)
        reactor.callLater(
            ENTRY_LISTED_SECONDS,
            self.store.write,
            "servers",
            target.script.name,
            target.entry(),
        )


class SameNameTest(HarmfulRequestTest):
    """The next process has the same id and address, and reports a later start."""

    def first_entry(self, target):
        return target.entry(born=FIRST_START)

    def replace(self, target):
        start = FIRST_START + target.incarnation
        target.engine.restart(start)
        reactor.callLater(
            ENTRY_REMOVAL_SECONDS,
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
    """A proxy accepts connections for an absent target, and resets them."""

    pause = 0.5

    def replace(self, target):
        target.port.stopListening()
        target.engine.restart(None)
        reactor.callLater(0, self.listen_as_proxy, target)

    def listen_as_proxy(self, target):
        proxy = reactor.listenTCP(target.number, _Proxy(), interface=LOOPBACK)
        self.addCleanup(proxy.stopListening)
        reactor.callLater(self.pause, self.replace_proxy, target, proxy)

    def replace_proxy(self, target, proxy):
        closed = proxy.stopListening()
        closed.addCallback(lambda _: self.listen_again(target))


class AnswersFirstTest(HarmfulRequestTest):
    """Each target answers completely and ends immediately afterwards."""

    def arrived(self, target, arrival):
        target.script.delay = target.script.gap = 0.0
        super().arrived(target, arrival)


# Otherwise the imported tests would also run as part of this module.
del HarmfulRequestTest
