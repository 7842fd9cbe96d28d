"""Selects the routers that keep a copy of the origin of a stream.

Every router derives them from the key of the stream and its list of routers, so that
a router that is asked to resume the stream finds them without having been told.
Copies lie in different failure domains where there are enough. Routers of an older
release do not know the messages and get no copies.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from collections.abc import Mapping


# With three copies in three failure domains, a stream is known after the loss of two
# domains, or of two thirds of all routers in seven of ten cases.
COPIES = 3
# More are asked than have copies, as lists of routers differ for seconds.
ASKED = 5
# More points spread the streams of a router that has left more evenly.
POINTS_PER_ROUTER = 16
# Routers on the ring that are considered, so that enough domains are among them.
CONSIDERED = 12
# A router that did not answer so many probes in a row does not know the messages.
MAX_UNANSWERED_PROBES = 4
# Seconds between probes of a router that has not answered yet, and of one that does not
# know the messages and logs each. One that is upgraded sends probes itself.
PROBE_INTERVAL_SECONDS = 0.25
SLOW_PROBE_INTERVAL_SECONDS = 60.0
# Seconds after which a router that knows them is probed again: it may have been
# replaced by an older release.
RENEWAL_SECONDS = 240.0


class _Router:
    __slots__ = ("domain", "probe_at", "unanswered")

    def __init__(self, domain: str) -> None:
        self.domain = domain
        self.unanswered = 0
        self.probe_at = -math.inf

    @property
    def is_holder(self) -> bool:
        """Return whether it knows the messages, as far as that is known."""
        return self.unanswered < MAX_UNANSWERED_PROBES


class OriginHolders:
    """The routers that keep copies of the origins of streams.

    A router keeps records of the streams that it began itself anyway, so it is not one
    of its own holders.
    """

    __slots__ = ("_ring", "_routers")

    def __init__(self) -> None:
        self._routers: dict[str, _Router] = {}
        self._ring: list[tuple[int, str]] | None = None

    @property
    def has_routers(self) -> bool:
        """Return whether other routers are listed, of any release."""
        return bool(self._routers)

    def set_routers(self, domains: Mapping[str, str]) -> None:
        """Replace the list of other routers.

        Parameters
        ----------
        domains : Mapping[str, str]
            Their failure domains by name.
        """
        known = self._routers
        if domains == {name: router.domain for name, router in known.items()}:
            return
        self._routers = {}
        for name, domain in domains.items():
            router = known.get(name)
            is_same = router is not None and router.domain == domain
            self._routers[name] = router if router and is_same else _Router(domain)
        self._ring = None

    def confirm(self, name: str, now: float) -> None:
        """Record that a router knows the messages.

        Parameters
        ----------
        name : str
            Its name; one that is not listed is ignored.
        now : float
            Current time in seconds.
        """
        router = self._routers.get(name)
        if router is None:
            return
        if not router.is_holder:
            self._ring = None
        router.unanswered = 0
        router.probe_at = now + RENEWAL_SECONDS

    def to_probe(self, now: float) -> list[str]:
        """Return the routers to ask now whether they know the messages.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        list[str]
            Their names.
        """
        due = [item for item in self._routers.items() if item[1].probe_at <= now]
        for _, router in due:
            if router.is_holder:
                router.unanswered += 1
                router.probe_at = now + PROBE_INTERVAL_SECONDS
            if not router.is_holder:
                router.probe_at = now + SLOW_PROBE_INTERVAL_SECONDS
                self._ring = None
        return [name for name, _ in due]

    def of(self, key: bytes, count: int) -> list[str]:
        """Return the first routers for a key, of different failure domains if possible.

        Parameters
        ----------
        key : bytes
            Key of a stream.
        count : int
            Maximum number.

        Returns
        -------
        list[str]
            Their names.
        """
        domains: set[str] = set()
        first: list[str] = []
        further: list[str] = []
        for name in self._successors(key):
            domain = self._routers[name].domain
            (further if domain in domains else first).append(name)
            domains.add(domain)
        return (first + further)[:count]

    def _successors(self, key: bytes) -> list[str]:
        """Return the routers that follow a key on a ring of their names.

        A router that only some lists have does not change the order of the others.
        """
        if self._ring is None:
            names = (n for n, router in self._routers.items() if router.is_holder)
            self._ring = sorted(
                (xxh3_64_intdigest(b"%d:%b" % (point, name.encode())), name)
                for name in names
                for point in range(POINTS_PER_ROUTER)
            )
        ring = self._ring
        start = bisect_left(ring, (xxh3_64_intdigest(key), ""))
        found: dict[str, None] = {}
        for position in range(start, start + len(ring)):
            found[ring[position % len(ring)][1]] = None
            if len(found) == CONSIDERED:
                break
        return list(found)
