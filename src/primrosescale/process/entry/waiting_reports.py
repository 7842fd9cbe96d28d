"""Numbers of requests that wait at other routers, by service, until they expire."""

from __future__ import annotations

from primrosescale.process.entry.target_keys import target_key


class WaitingReports:
    """The last report of each origin: a router, or the relays for all routers.

    A report is replaced as a whole, so that what it no longer contains is no longer
    counted.
    """

    __slots__ = ("_reports",)

    def __init__(self) -> None:
        # By origin: the counts by key of the service, the number of routers that they
        # count, and the time until which they are valid.
        self._reports: dict[str, tuple[dict[int, int], int, float]] = {}

    def put(
        self, origin: str, waiting: dict[int, int], routers: int, valid_until: float
    ) -> None:
        """Replace the report of an origin.

        Parameters
        ----------
        origin : str
            The origin.
        waiting : dict[int, int]
            Waiting requests that it reports, by the key of their service.
        routers : int
            Number of routers that these are counted over.
        valid_until : float
            When the report expires, in seconds.
        """
        if waiting:
            self._reports[origin] = (waiting, routers, valid_until)
        else:
            self._reports.pop(origin, None)

    def total(self, service: str, max_per_router: float, now: float) -> float:
        """Return how many requests for a service wait at other routers.

        Parameters
        ----------
        service : str
            Name of the service.
        max_per_router : float
            Number up to which the requests of one router are counted. It applies to
            a sum over several routers as many times.
        now : float
            Present time in seconds.

        Returns
        -------
        float
            Sum of the reports that have not expired.
        """
        if not self._reports:
            return 0.0
        self._reports = {
            origin: report
            for origin, report in self._reports.items()
            if now <= report[2]
        }
        key = target_key(service)
        return sum(
            min(counts.get(key, 0), max_per_router * routers)
            for counts, routers, _ in self._reports.values()
        )
