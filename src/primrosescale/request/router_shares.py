"""How a rate that all routers share is divided among them without asking.

The pattern it answers: a bound on what all routers together send to one target,
smaller than the number of routers. A rate of a few requests a second is a few
tokens; each token belongs to one router by a consistent-hash ring of their names,
so that routers with the same list agree without talking, and routers whose lists
differ by a few disagree on few tokens.

A token that falls to a router by a change of the list is used only once the others
have had the time to hear of the change; one that falls to another router is given
up at once. So a change never adds to what is sent.
"""

from __future__ import annotations

from functools import lru_cache

from primrosescale.request.candidates import TargetRing

# Seconds in which all routers that reach the store have heard of a change of their
# list: it is read again two seconds after the last one.
SETTLING_SECONDS = 3.0


class RouterShares:
    """Divides tokens among the routers that are listed.

    Parameters
    ----------
    name : str
        This router.
    """

    __slots__ = ("_counted", "_former", "_name", "_names", "_ring")

    def __init__(self, name: str) -> None:
        self._name = name
        self._names: frozenset[str] = frozenset()
        self._ring: TargetRing | None = None
        # Rings that others may still go by, each with the time until which.
        self._former: list[tuple[float, TargetRing | None]] = []
        self._counted: dict[tuple[str, int], int] = {}

    def set_routers(
        self, names: frozenset[str], now: float, *, was_listed: bool = False
    ) -> None:
        """Take in which routers are listed.

        Parameters
        ----------
        names : frozenset[str]
            All routers, this one too.
        now : float
            Present time in seconds.
        was_listed : bool
            Whether this router was listed before it started: then the others go
            by its first list already.
        """
        if names == self._names:
            return
        if self._ring is not None or not was_listed:
            self._former.append((now + SETTLING_SECONDS, self._ring))
        self._names = names
        self._ring = _ring_of(names)
        self._counted.clear()

    def own_permits(self, key: str, tokens: int, now: float) -> int:
        """Return how many of the tokens of a key are this router's.

        Parameters
        ----------
        key : str
            What the tokens are for.
        tokens : int
            How many there are for all routers.
        now : float
            Present time in seconds.

        Returns
        -------
        int
            Those that all lists in force lately give to this router.
        """
        if self._ring is None:
            return 0
        if self._former and self._former[0][0] <= now:
            self._former = [item for item in self._former if now < item[0]]
            self._counted.clear()
        known = self._counted.get((key, tokens))
        if known is None:
            known = sum(self._owns(f"{key} {token}") for token in range(tokens))
            self._counted[key, tokens] = known
        return known

    def _owns(self, token: str) -> bool:
        rings = [self._ring, *(ring for _, ring in self._former)]
        return all(
            ring is not None and ring.walk(token, 1) == [self._name] for ring in rings
        )


@lru_cache(maxsize=8)
def _ring_of(names: frozenset[str]) -> TargetRing:
    """Return the ring of some routers, which nobody changes.

    A list that goes back and forth is not worth a new ring each time.
    """
    ring = TargetRing()
    ring.fill(names)
    return ring
