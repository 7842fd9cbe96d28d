"""What a router knows of others' requests by relays, and passes on for them.

The pattern it answers: many routers before few targets, where no router can hear
all others often. Every word is kept by who it came from and replaced whole. A
relay that is lost, frozen or cut off costs the time until the next one is asked.
"""

from __future__ import annotations

from collections import OrderedDict
from collections import deque
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

from primrosescale.connection.wire.ttypes import NewsScope
from primrosescale.process.entry.load_sum import LoadSum
from primrosescale.process.entry.load_sum import sum_of

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from primrosescale.connection.wire import ttypes as wire
    from primrosescale.process.entry.relay_topology import RelayTopology
    from primrosescale.process.entry.relay_topology import StateExchangeSettings

# News of parts that wait to be passed on; the oldest are left out, each of which
# costs a prompt that is read once more.
MOST_WAITING_PARTS = 200
# Parts in one message of a relay: 27 a second, 700 bytes to each router that it
# tells. Loads, which grow old, do not wait for more of them.
MOST_RELAYED_PARTS = 4
# Ends of targets that wait to be passed on, and those in one message of a relay.
MOST_WAITING_ENDS = 200
MOST_RELAYED_ENDS = 12
# Seconds in which the same end is passed on once, however many routers tell of it,
# and ends that are remembered for that.
SAME_END_SECONDS = 5.0
MOST_PASSED_ENDS = 2048
# Of two relays that tell of the same routers the one that counts more of them is
# believed, for as long as it tells: a relay that has just become one knows few.
BELIEVED_INTERVALS = 3


class _Word:
    """The last sum that was heard from a router, and when."""

    __slots__ = ("heard_at", "loads", "origin")

    def __init__(self, origin: str, loads: LoadSum, heard_at: float) -> None:
        self.origin = origin
        self.loads = loads
        self.heard_at = heard_at


class Telling:
    """What one router is to be told in a round.

    Parameters
    ----------
    name : str
        The router.
    scope : NewsScope
        Whose requests it is told.
    loads : LoadSum
        The requests.
    parts : list[wire.PartNews]
        Where parts of prompts went.
    ends : list[wire.EndNews]
        Which targets ended with which requests on board.
    wants_fleet : bool
        Whether it is asked to tell of all routers.
    """

    __slots__ = ("ends", "loads", "name", "parts", "scope", "wants_fleet")

    def __init__(
        self,
        name: str,
        scope: NewsScope,
        loads: LoadSum,
        parts: list[wire.PartNews],
        ends: list[wire.EndNews],
        *,
        wants_fleet: bool = False,
    ) -> None:
        self.name = name
        self.scope = scope
        self.loads = loads
        self.parts = parts
        self.ends = ends
        self.wants_fleet = wants_fleet


Item = TypeVar("Item")


class _Waiting(Generic[Item]):
    """News that is to be passed on."""

    __slots__ = ("is_of_domain", "item", "origin")

    def __init__(self, origin: str, item: Item, *, is_of_domain: bool) -> None:
        self.origin = origin
        self.item = item
        self.is_of_domain = is_of_domain


class _PassedOn(Generic[Item]):
    """News that waits to be passed on, the oldest first.

    Parameters
    ----------
    most : int
        How much may wait; the oldest makes room.
    most_in_message : int
        How much of it goes into one message.
    """

    __slots__ = ("_most_in_message", "_waiting")

    def __init__(self, most: int, most_in_message: int) -> None:
        self._most_in_message = most_in_message
        self._waiting: deque[_Waiting[Item]] = deque(maxlen=most)

    def add(self, origin: str, items: Iterable[Item], *, is_of_domain: bool) -> None:
        """Have news wait that came from a router."""
        for item in items:
            self._waiting.append(_Waiting(origin, item, is_of_domain=is_of_domain))

    def take(self) -> list[_Waiting[Item]]:
        """Return what goes into the messages of this round."""
        count = min(self._most_in_message, len(self._waiting))
        return [self._waiting.popleft() for _ in range(count)]


class _PassedEnds:
    """Which ends were passed on lately, so that none is again."""

    __slots__ = ("_passed",)

    def __init__(self) -> None:
        self._passed: OrderedDict[tuple[int, int | None, bool | None], float] = (
            OrderedDict()
        )

    def take_new(
        self, ends: Iterable[wire.EndNews], now: float
    ) -> Iterator[wire.EndNews]:
        """Yield those that were not passed on lately, and take note of them."""
        for end in ends:
            key = (end.fingerprint, end.target, end.is_try)
            passed_at = self._passed.get(key)
            if passed_at is not None and now - passed_at < SAME_END_SECONDS:
                continue
            self._passed.pop(key, None)
            self._passed[key] = now
            if len(self._passed) > MOST_PASSED_ENDS:
                self._passed.popitem(last=False)
            yield end


def _of_domain(waiting: list[_Waiting[Item]]) -> list[Item]:
    """Return what other domains are told."""
    return [each.item for each in waiting if each.is_of_domain]


def _not_from(name: str, waiting: list[_Waiting[Item]]) -> list[Item]:
    """Return what the router that some of it came from is told."""
    return [each.item for each in waiting if each.origin != name]


class StateRelay:
    """Sums of others' requests, by router, by domain and of all.

    Parameters
    ----------
    name : str
        This router.
    paths : RelayTopology
        Who exchanges news with whom.
    settings : StateExchangeSettings
        Sizes and times.
    """

    def __init__(
        self, name: str, paths: RelayTopology, settings: StateExchangeSettings
    ) -> None:
        self._name = name
        self._paths = paths
        self._settings = settings
        # Requests of routers of the own domain, by router.
        self._reports: dict[str, _Word] = {}
        # Requests of other domains, by domain.
        self._domains: dict[str, _Word] = {}
        # Requests of all but this router, by the relay that told it.
        self._fleets: dict[str, _Word] = {}
        # Routers that ask this one to answer as a relay, and until when.
        self._askers: dict[str, float] = {}
        self._parts: _PassedOn[wire.PartNews] = _PassedOn(
            MOST_WAITING_PARTS, MOST_RELAYED_PARTS
        )
        self._ends: _PassedOn[wire.EndNews] = _PassedOn(
            MOST_WAITING_ENDS, MOST_RELAYED_ENDS
        )
        self._passed_ends = _PassedEnds()

    def hear_from(
        self, message: wire.RouterNews, loads: LoadSum | None, now: float
    ) -> None:
        """Take in a message that goes by relays.

        Parameters
        ----------
        message : wire.RouterNews
            The message.
        loads : LoadSum | None
            The requests in it; None where they could not be read.
        now : float
            Present time in seconds.
        """
        origin = message.origin
        is_report = message.scope == NewsScope.ROUTER
        if message.scope is not None and not is_report:
            self._paths.answered(origin)
            if loads is not None:
                self.hear(message.scope, origin, loads, now)
        if message.wants_fleet or message.scope == NewsScope.DOMAIN:
            self._askers[origin] = now + self._settings.keep
        if not self._askers or message.scope == NewsScope.FLEET:
            return
        self._parts.add(origin, message.parts, is_of_domain=is_report)
        ends = self._passed_ends.take_new(message.ends or (), now)
        self._ends.add(origin, ends, is_of_domain=is_report)

    def hear(self, scope: NewsScope, origin: str, loads: LoadSum, now: float) -> None:
        """Take in what another router tells of requests.

        Parameters
        ----------
        scope : NewsScope
            Whose requests they are.
        origin : str
            The router that tells.
        loads : LoadSum
            The requests.
        now : float
            Present time in seconds.
        """
        word = _Word(origin, loads, now)
        if scope == NewsScope.FLEET:
            self._fleets[origin] = word
        elif scope == NewsScope.ROUTER:
            if self._paths.is_own_domain(origin):
                self._reports[origin] = word
        elif not self._paths.is_own_domain(origin):
            self._hear_domain(self._paths.domain_of(origin), word, now)

    def _hear_domain(self, domain: str, word: _Word, now: float) -> None:
        known = self._domains.get(domain)
        if known is not None and known.origin != word.origin:
            believed = BELIEVED_INTERVALS * self._settings.interval
            is_telling = now - known.heard_at < believed
            if is_telling and known.loads.routers > word.loads.routers:
                return
        self._domains[domain] = word

    def forget(self, name: str) -> None:
        """Forget a router that is no longer listed.

        Parameters
        ----------
        name : str
            The router.
        """
        self._reports.pop(name, None)
        self._fleets.pop(name, None)
        self._askers.pop(name, None)

    def others(self, now: float) -> LoadSum:
        """Return the requests of all other routers by the best knowledge.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        LoadSum
            What this router has gathered itself, or what a relay has told it,
            whichever counts more routers.
        """
        gathered = self._gathered(now)
        told = self._fresh(self._fleets, now)
        if not told:
            return gathered
        best = max(told, key=lambda word: (word.loads.routers, word.heard_at)).loads
        return gathered if gathered.routers >= best.routers else best

    def compose(
        self,
        own: LoadSum,
        parts: list[wire.PartNews],
        ends: list[wire.EndNews],
        now: float,
        *,
        is_urgent: bool,
    ) -> list[Telling]:
        """Return what to tell whom in a round.

        Parameters
        ----------
        own : LoadSum
            This router's own requests.
        parts : list[wire.PartNews]
            Where this router sent parts of prompts.
        ends : list[wire.EndNews]
            Which targets ended with which of its requests on board.
        now : float
            Present time in seconds.
        is_urgent : bool
            Whether only this router's relays are told.

        Returns
        -------
        list[Telling]
            What each is told.
        """
        self._parts.add(self._name, parts, is_of_domain=True)
        new_ends = self._passed_ends.take_new(ends, now)
        self._ends.add(self._name, new_ends, is_of_domain=True)
        teller = self._paths.teller(now)
        told = [
            Telling(
                name,
                NewsScope.ROUTER,
                own,
                parts[-MOST_RELAYED_PARTS:],
                ends,
                wants_fleet=name == teller,
            )
            for name in self._paths.own_relays(now)
        ]
        if is_urgent:
            return told
        if teller is not None:
            self._paths.asked(teller, now)
        return told + self._answers(own, now)

    def _answers(self, own: LoadSum, now: float) -> list[Telling]:
        """Return the sums for those who ask, and for relays of other domains.

        Nothing where this router is no relay and nobody takes it for one.
        """
        self._askers = {n: until for n, until in self._askers.items() if now < until}
        others: set[str] = set()
        if self._askers or self._paths.is_relay(now):
            others.update(self._paths.counterparts(now))
            for name in others:
                self._paths.asked(name, now)
        others.update(n for n in self._askers if not self._paths.is_own_domain(n))
        members = [name for name in self._askers if self._paths.is_own_domain(name)]
        parts = self._parts.take()
        ends = self._ends.take()
        if not others and not members:
            return []
        reports = [word.loads for word in self._fresh(self._reports, now)]
        domain = sum_of([own, *reports], now)
        told = [
            Telling(name, NewsScope.DOMAIN, domain, _of_domain(parts), _of_domain(ends))
            for name in others
        ]
        fleet = sum_of([own, self._gathered(now)], now)
        for name in members:
            report = self._reports.get(name)
            is_counted = report is not None and self._is_fresh(report, now)
            loads = fleet.without(report.loads) if report and is_counted else fleet
            told.append(
                Telling(
                    name,
                    NewsScope.FLEET,
                    loads,
                    _not_from(name, parts),
                    _not_from(name, ends),
                )
            )
        return told

    def _gathered(self, now: float) -> LoadSum:
        reports = [word.loads for word in self._fresh(self._reports, now)]
        domains = [word.loads for word in self._fresh(self._domains, now)]
        return sum_of([*reports, *domains], now)

    def _fresh(self, words: dict[str, _Word], now: float) -> list[_Word]:
        return [word for word in words.values() if self._is_fresh(word, now)]

    def _is_fresh(self, word: _Word, now: float) -> bool:
        return now - word.heard_at <= self._settings.keep
