"""Decides which routers exchange state updates, and through which relays.

In a small fleet each router sends its updates to all others. In a large one that
would exceed the limit on bytes sent, or updates would arrive too late to balance load
with. There, each router reports to the relays of its own failure domain. Relays
aggregate these reports, exchange sums with the relays of other domains, and send the
total to the routers of their own domain. The relays of a domain are the first routers
in an order of names that all routers derive alike, so there is no election. A router
that is asked to act as a relay does so, whether or not it is one by its own list.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from primrosescale.ini.options import COUNT
from primrosescale.ini.options import SECONDS
from primrosescale.ini.options import option
from primrosescale.process.membership.rendezvous import first_by_rendezvous

# A domain has at least two relays, so that one may be lost.
MIN_RELAYS_PER_DOMAIN = 2
# Messages in a row that a relay may leave unanswered, about 1 s of them. One datagram
# in a thousand is lost, and hosts may stall for some tenths of a second.
MAX_UNANSWERED_MESSAGES = 6
# A relay that did not answer is tried again after this time, for two messages.
SUSPICION_SECONDS = 5.0
MESSAGES_AFTER_SUSPICION = 2


@dataclass(frozen=True, slots=True)
class StateExchangeSettings:
    """Limits and intervals of the exchange of state between routers."""

    most_direct: int = option(
        COUNT,
        "number of routers up to which each sends updates to all others; with more, "
        "updates would be more than 0.5 s old within the limit on bytes sent",
        32,
    )
    routers_a_relay: int = option(
        COUNT,
        "routers of a failure domain for each of its relays",
        10,
    )
    interval: float = option(
        SECONDS,
        "seconds between two reports to a relay, and between two sums from it; "
        "the oldest known load is three of these old",
        0.15,
    )
    keep: float = option(
        SECONDS,
        "seconds for which a relayed report counts; a router whose report is not "
        "renewed by then is considered gone",
        1.2,
    )
    bytes_per_second: int = option(
        COUNT,
        "bytes of state updates that a router sends in a second; all control "
        "traffic may take 22 kB on the busiest router, 12 kB on the mean",
        14_000,
    )


class _RelaySuspicion:
    """Whether a relay has left messages unanswered recently."""

    __slots__ = ("suspected_until", "unanswered_messages")

    def __init__(self) -> None:
        self.unanswered_messages = 0
        self.suspected_until = -math.inf


class RelayTopology:
    """Relays of all failure domains, and the peers with which one router communicates.

    Parameters
    ----------
    name : str
        This router.
    domain : str
        Its failure domain.
    settings : StateExchangeSettings
        Limits and intervals.
    """

    def __init__(self, name: str, domain: str, settings: StateExchangeSettings) -> None:
        self._name = name
        self._domain = domain
        self._settings = settings
        self._domains: dict[str, set[str]] = {domain: {name}}
        self._domain_of: dict[str, str] = {name: domain}
        self._orders: dict[str, list[str]] = {}
        self._suspicions: dict[str, _RelaySuspicion] = {}

    @property
    def is_relayed(self) -> bool:
        """Return whether state updates are sent through relays."""
        return len(self._domain_of) > self._settings.most_direct

    def put(self, name: str, domain: str) -> None:
        """Add another router, or replace its entry.

        Parameters
        ----------
        name : str
            The router.
        domain : str
            Its failure domain.
        """
        self.remove(name)
        self._domain_of[name] = domain
        self._domains.setdefault(domain, set()).add(name)
        self._orders.pop(domain, None)

    def remove(self, name: str) -> None:
        """Remove a router that is gone.

        Parameters
        ----------
        name : str
            The router.
        """
        domain = self._domain_of.pop(name, None)
        if domain is None:
            return
        self._domains[domain].discard(name)
        if not self._domains[domain]:
            del self._domains[domain]
        self._orders.pop(domain, None)
        self._suspicions.pop(name, None)

    def is_own_domain(self, name: str) -> bool:
        """Return whether a router is in this one's failure domain.

        Parameters
        ----------
        name : str
            The router.

        Returns
        -------
        bool
            True for the same domain.
        """
        return self._domain_of.get(name) == self._domain

    def domain_of(self, name: str) -> str:
        """Return the failure domain of a listed router.

        Parameters
        ----------
        name : str
            The router.

        Returns
        -------
        str
            The domain.
        """
        return self._domain_of[name]

    def rank(self, now: float) -> int | None:
        """Return this router's rank among the relays of its domain.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        int | None
            0 for the first; None if it is not a relay.
        """
        relays = self._relays(self._domain, now)
        return relays.index(self._name) if self._name in relays else None

    def is_relay(self, now: float) -> bool:
        """Return whether this router is one of the relays of its domain.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            True for a relay by the list of routers known here.
        """
        return self.rank(now) is not None

    def own_relays(self, now: float) -> list[str]:
        """Return the relays of this router's domain that it reports to.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        list[str]
            Their names, without its own.
        """
        return [n for n in self._relays(self._domain, now) if n != self._name]

    def upstream_relay(self, now: float) -> str | None:
        """Return the relay from which this router receives the load of all others.

        The routers of a domain are spread over its relays, so that each relay has
        little to send.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        str | None
            Its name; None if there is no other router in the domain.
        """
        first = first_by_rendezvous(self.own_relays(now), self._name, 1)
        return first[0] if first else None

    def peer_relays(self, now: float) -> list[str]:
        """Return the relays of other domains that this one exchanges sums with.

        Relays of the same rank exchange sums, so that the loss of one leaves the
        connections of the others intact.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        list[str]
            One relay of each other domain.
        """
        rank = self.rank(now) or 0
        found = []
        for domain in self._domains:
            if domain != self._domain:
                relays = self._relays(domain, now)
                found.append(relays[rank % len(relays)])
        return found

    def expect_answer(self, name: str, now: float) -> None:
        """Record that a message was sent to a router that has to answer it.

        Parameters
        ----------
        name : str
            The router.
        now : float
            Present time in seconds.
        """
        suspicion = self._suspicions.setdefault(name, _RelaySuspicion())
        suspicion.unanswered_messages += 1
        if suspicion.unanswered_messages >= MAX_UNANSWERED_MESSAGES:
            suspicion.unanswered_messages = (
                MAX_UNANSWERED_MESSAGES - MESSAGES_AFTER_SUSPICION
            )
            suspicion.suspected_until = now + SUSPICION_SECONDS

    def answer_received(self, name: str) -> None:
        """Record that a router has answered as a relay.

        Parameters
        ----------
        name : str
            The router.
        """
        self._suspicions.pop(name, None)

    def _is_suspected(self, name: str, now: float) -> bool:
        suspicion = self._suspicions.get(name)
        return suspicion is not None and now < suspicion.suspected_until

    def _relays(self, domain: str, now: float) -> list[str]:
        """Return the relays of a domain, without suspected routers unless all are."""
        order = self._orders.get(domain)
        if order is None:
            names = self._domains[domain]
            order = first_by_rendezvous(names, domain, len(names))
            self._orders[domain] = order
        count = max(
            MIN_RELAYS_PER_DOMAIN, -(-len(order) // self._settings.routers_a_relay)
        )
        answering = [name for name in order if not self._is_suspected(name, now)]
        return (answering or order)[:count]
