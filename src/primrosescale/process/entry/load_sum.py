"""Requests in flight, waiting requests and outcomes, summed over routers."""

from __future__ import annotations


class LoadSum:
    """Requests in flight, waiting requests and outcomes of a set of routers.

    A sum is built from the latest report of each router and replaced as a whole,
    never incremented. So nothing is counted twice, and a lost message only leaves
    older data in place until the next one.

    Parameters
    ----------
    known_at : float
        Time of the oldest report in the sum, in seconds of this router's clock.
    routers : int
        Number of routers in the sum.
    reaches_store : bool
        Whether at least one of them reaches the store.
    """

    __slots__ = (
        "known_at",
        "outcomes",
        "reaches_store",
        "routers",
        "running",
        "waiting",
    )

    def __init__(
        self, known_at: float, routers: int, *, reaches_store: bool = False
    ) -> None:
        self.known_at = known_at
        self.routers = routers
        self.reaches_store = reaches_store
        # All are keyed by `target_key`: requests that wait in routers by the key of
        # their service, the others by that of the target. Outcomes are pairs of
        # successes and failures.
        self.running: dict[int, int] = {}
        self.outcomes: dict[int, tuple[float, float]] = {}
        self.waiting: dict[int, int] = {}

    def add(self, other: LoadSum) -> None:
        """Add the load of other routers.

        Parameters
        ----------
        other : LoadSum
            A sum over routers that are not in this one.
        """
        self.known_at = min(self.known_at, other.known_at)
        self.routers += other.routers
        self.reaches_store = self.reaches_store or other.reaches_store
        for key, running in other.running.items():
            self.running[key] = self.running.get(key, 0) + running
        for key, waiting in other.waiting.items():
            self.waiting[key] = self.waiting.get(key, 0) + waiting
        for key, (good, bad) in other.outcomes.items():
            known_good, known_bad = self.outcomes.get(key, (0.0, 0.0))
            self.outcomes[key] = (known_good + good, known_bad + bad)

    def without(self, other: LoadSum) -> LoadSum:
        """Return this sum without the load of some of its routers.

        Parameters
        ----------
        other : LoadSum
            A sum that was added to this one.

        Returns
        -------
        LoadSum
            The remainder, with the age of this sum.
        """
        rest = LoadSum(
            self.known_at,
            self.routers - other.routers,
            reaches_store=self.reaches_store,
        )
        rest.running = dict(self.running)
        for key, running in other.running.items():
            rest.running[key] -= running
        rest.waiting = dict(self.waiting)
        for key, waiting in other.waiting.items():
            rest.waiting[key] -= waiting
        rest.outcomes = dict(self.outcomes)
        for key, (good, bad) in other.outcomes.items():
            all_good, all_bad = rest.outcomes[key]
            rest.outcomes[key] = (all_good - good, all_bad - bad)
        return rest


def total_load(parts: list[LoadSum], now: float) -> LoadSum:
    """Return the sum over several disjoint sets of routers.

    Parameters
    ----------
    parts : list[LoadSum]
        Sums over routers; no router is in two of them.
    now : float
        Present time in seconds.

    Returns
    -------
    LoadSum
        The total; of no routers if there are no parts.
    """
    total = LoadSum(now, 0)
    for part in parts:
        total.add(part)
    return total
