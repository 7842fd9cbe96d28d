"""Divides a rate limit among all routers without communication between them.

The limit applies to what all routers together send to one target, and may be smaller
than the number of routers. A rate of a few requests a second is divided into as many
permits; a consistent-hash ring of router names assigns each permit to one router, so
that routers with the same list agree without messages, and routers whose lists differ
by a few names disagree on few permits.

A permit that a change of the list assigns to a router is used only once its peers have
had time to learn of the change; one that it assigns to a peer router is given up at
once. A change therefore never raises the total rate.
"""

from __future__ import annotations

from functools import lru_cache

from primrosescale.request.choice.candidates import TargetRing

# Time within which all routers that reach the store have learned of a change of the
# list of routers; each reads it again two seconds after its last read.
SETTLING_SECONDS = 3.0


class RouterShares:
    """Divides permits among the routers that are listed.

    Parameters
    ----------
    name : str
        Name of this router.
    """

    __slots__ = ("_name", "_names", "_own_counts", "_previous_rings", "_ring")

    def __init__(self, name: str) -> None:
        self._name = name
        self._names: frozenset[str] = frozenset()
        self._ring: TargetRing | None = None
        # Rings that peer routers may still use, each with the end of that time.
        self._previous_rings: list[tuple[float, TargetRing | None]] = []
        self._own_counts: dict[tuple[str, int], int] = {}

    def set_routers(
        self, names: frozenset[str], now: float, *, was_listed: bool = False
    ) -> None:
        """Replace the list of routers.

        Parameters
        ----------
        names : frozenset[str]
            Names of all routers, including this one.
        now : float
            Current time in seconds.
        was_listed : bool
            Whether this router was listed before it started, so that the others
            already use this first list.
        """
        if names == self._names:
            return
        if self._ring is not None or not was_listed:
            self._previous_rings.append((now + SETTLING_SECONDS, self._ring))
        self._names = names
        self._ring = _ring_of(names)
        self._own_counts.clear()

    def own_permits(self, key: str, tokens: int, now: float) -> int:
        """Return how many of the permits of a key are this router's.

        Parameters
        ----------
        key : str
            What the permits are for, such as the name of a target.
        tokens : int
            Number of permits for all routers together.
        now : float
            Current time in seconds.

        Returns
        -------
        int
            Number of permits that every list recently in force assigns to this
            router.
        """
        if self._ring is None:
            return 0
        self._drop_expired(now)
        known = self._own_counts.get((key, tokens))
        if known is None:
            known = sum(self._owns(f"{key} {token}") for token in range(tokens))
            self._own_counts[key, tokens] = known
        return known

    def largest_list(self, now: float) -> int:
        """Return the number of routers in the longest list that may be in use.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        int
            Number of routers, including this one; 0 before the first list.
        """
        self._drop_expired(now)
        largest = 0 if self._ring is None else len(self._ring)
        for _, ring in self._previous_rings:
            if ring is not None:
                largest = max(largest, len(ring))
        return largest

    def is_settled(self, now: float) -> bool:
        """Return whether all peers have had time to learn of this router.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            False before the first list, and for `SETTLING_SECONDS` after it unless
            the router was listed before it started.
        """
        self._drop_expired(now)
        if self._ring is None:
            return False
        return all(ring is not None for _, ring in self._previous_rings)

    def _drop_expired(self, now: float) -> None:
        """Forget the lists that no router uses any longer."""
        if self._previous_rings and self._previous_rings[0][0] <= now:
            self._previous_rings = [
                item for item in self._previous_rings if now < item[0]
            ]
            self._own_counts.clear()

    def _owns(self, token: str) -> bool:
        rings = [self._ring, *(ring for _, ring in self._previous_rings)]
        return all(
            ring is not None and ring.walk(token, 1) == [self._name] for ring in rings
        )


@lru_cache(maxsize=8)
def _ring_of(names: frozenset[str]) -> TargetRing:
    """Return the hash ring of some routers, which must not be changed.

    It is cached, so that no new ring is needed each time the list alternates between
    the same names.
    """
    ring = TargetRing()
    ring.fill(names)
    return ring
