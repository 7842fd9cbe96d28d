"""Which routers a router exchanges news with.

The pattern it answers: a fleet so large that news from each router to each other
takes more than the bytes allowed, or comes too late to share load by. Up to some
number all routers tell all. Beyond it, each tells the relays of its own failure
domain; these sum up, tell the relays of other domains, and tell their own domain
of the whole. Relays are the first routers in an order of names that all agree on:
nobody elects them, and who is asked answers, whatever it holds itself to be.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from primrosescale.ini.options import COUNT
from primrosescale.ini.options import SECONDS
from primrosescale.ini.options import option
from primrosescale.process.membership.rendezvous import first_by_rendezvous

# A domain has two relays at least, so that one may be lost.
LEAST_RELAYS = 2
# Questions in a row that a relay may leave open: 1 s. A datagram in a thousand is
# lost, and hosts are held up for some tenths of a second.
PATIENCE = 6
# After this time a relay that did not answer is asked again, for two questions.
FORGIVEN_SECONDS = 5.0
SECOND_CHANCE = 2


@dataclass(frozen=True, slots=True)
class StateExchangeSettings:
    """How often routers tell each other what, and by which way."""

    most_direct: int = option(
        COUNT,
        "routers up to which each tells all others; beyond it news of the "
        "others would be more than 0.5 s old within the bytes allowed",
        32,
    )
    routers_a_relay: int = option(
        COUNT,
        "routers of a failure domain for each of its relays",
        10,
    )
    interval: float = option(
        SECONDS,
        "seconds between two reports to a relay, and two of a relay's sums; "
        "three of them are the age of the oldest load that is known",
        0.15,
    )
    keep: float = option(
        SECONDS,
        "seconds for which a relayed report counts; one that is not renewed by "
        "then is of a router that is gone",
        1.2,
    )
    bytes_per_second: int = option(
        COUNT,
        "bytes of news that a router sends in a second; all control may take "
        "22 kB on the busiest, 12 kB on the mean",
        14_000,
    )


class _Answers:
    """Whether a router that was asked has answered lately."""

    __slots__ = ("open_questions", "suspected_until")

    def __init__(self) -> None:
        self.open_questions = 0
        self.suspected_until = -math.inf


class RelayTopology:
    """The ways of news from and to one router.

    Parameters
    ----------
    name : str
        This router.
    domain : str
        Its failure domain.
    settings : StateExchangeSettings
        Sizes and times.
    """

    def __init__(self, name: str, domain: str, settings: StateExchangeSettings) -> None:
        self._name = name
        self._domain = domain
        self._settings = settings
        self._domains: dict[str, set[str]] = {domain: {name}}
        self._domain_of: dict[str, str] = {name: domain}
        self._orders: dict[str, list[str]] = {}
        self._answers: dict[str, _Answers] = {}

    @property
    def is_relayed(self) -> bool:
        """Tell whether news goes by relays."""
        return len(self._domain_of) > self._settings.most_direct

    def put(self, name: str, domain: str) -> None:
        """Take in another router.

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
        """Take in that a router is gone.

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
        self._answers.pop(name, None)

    def is_own_domain(self, name: str) -> bool:
        """Tell whether a router is of this one's failure domain.

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
        """Return this router's place among the relays of its domain.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        int | None
            0 for the first; None when it is none of them.
        """
        relays = self._relays(self._domain, now)
        return relays.index(self._name) if self._name in relays else None

    def is_relay(self, now: float) -> bool:
        """Tell whether this router is one of the relays of its domain.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            True for a relay by this router's own knowledge.
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
            Their names; not its own.
        """
        return [n for n in self._relays(self._domain, now) if n != self._name]

    def teller(self, now: float) -> str | None:
        """Return the relay that tells this router of all others.

        A relay tells a part of its domain, so that each has little to send.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        str | None
            Its name; None where there is no other router in the domain.
        """
        first = first_by_rendezvous(self.own_relays(now), self._name, 1)
        return first[0] if first else None

    def counterparts(self, now: float) -> list[str]:
        """Return the relays of other domains that this one exchanges sums with.

        Those of the same place talk to each other, so that the loss of one
        leaves the ways by the others whole.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        list[str]
            One of each other domain.
        """
        place = self.rank(now) or 0
        found = []
        for domain in self._domains:
            if domain != self._domain:
                relays = self._relays(domain, now)
                found.append(relays[place % len(relays)])
        return found

    def asked(self, name: str, now: float) -> None:
        """Take in that a router was sent something that it must answer.

        Parameters
        ----------
        name : str
            The router.
        now : float
            Present time in seconds.
        """
        answers = self._answers.setdefault(name, _Answers())
        answers.open_questions += 1
        if answers.open_questions >= PATIENCE:
            answers.open_questions = PATIENCE - SECOND_CHANCE
            answers.suspected_until = now + FORGIVEN_SECONDS

    def answered(self, name: str) -> None:
        """Take in that a router has answered as a relay.

        Parameters
        ----------
        name : str
            The router.
        """
        self._answers.pop(name, None)

    def _is_suspected(self, name: str, now: float) -> bool:
        answers = self._answers.get(name)
        return answers is not None and now < answers.suspected_until

    def _relays(self, domain: str, now: float) -> list[str]:
        """Return the relays of a domain, as far as they answer."""
        order = self._orders.get(domain)
        if order is None:
            names = self._domains[domain]
            order = first_by_rendezvous(names, domain, len(names))
            self._orders[domain] = order
        count = max(LEAST_RELAYS, -(-len(order) // self._settings.routers_a_relay))
        answering = [name for name in order if not self._is_suspected(name, now)]
        return (answering or order)[:count]
