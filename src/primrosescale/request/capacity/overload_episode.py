"""Episodes of overload of a service: when they begin and end, and whom they affect."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primrosescale.request.capacity.capacity_view import Allowance

# An overload has ended when no request has waited or been refused for this long.
QUIET_SECONDS = 2.0
REPORTED_ORGANISATIONS = 10


class OverloadReason(Enum):
    """Why a request was refused while its service was overloaded."""

    # It could not have been answered in the time that its caller has.
    FORECAST = "forecast"
    # It has waited, and can no longer be answered in the time that its caller has.
    WAITED = "waited"
    # More is asked for than can be done, and as many wait as keep the targets busy.
    STANDING = "standing"
    # As many wait as can be started in their callers' time, and its organisation had no
    # less work there than others.
    QUEUE_FULL = "queue_full"
    # Its place was given to an organisation with less waiting work.
    DISPLACED = "displaced"
    # The router is stopping.
    STOPPING = "stopping"


@dataclass(slots=True)
class OverloadEpisode:
    """One overload of a service.

    Parameters
    ----------
    service : str
        Name of the service.
    began_at : float
        When the first request waited or was refused, in seconds.
    last_at : float
        When a request last waited or was refused, in seconds.
    delayed : int
        Number of requests that waited.
    longest_wait : float
        Longest wait, in seconds.
    refusals : Counter[str]
        Number of refused requests of each organisation.
    """

    service: str
    began_at: float
    last_at: float
    delayed: int = 0
    longest_wait: float = 0.0
    refusals: Counter[str] = field(default_factory=Counter)

    @property
    def refused(self) -> int:
        """Return the number of refused requests."""
        return self.refusals.total()

    @property
    def ends_at(self) -> float:
        """Return when it ends if no further request waits or is refused."""
        return self.last_at + QUIET_SECONDS

    @property
    def most_refused(self) -> list[tuple[str, int]]:
        """Return the organisations with the most refusals, and their numbers."""
        return self.refusals.most_common(REPORTED_ORGANISATIONS)


class OverloadObserver(ABC):
    """Receives what happens to requests of overloaded services, for log and metrics."""

    @abstractmethod
    def began(
        self, episode: OverloadEpisode, allowance: Allowance | None, waiting: int
    ) -> None:
        """Handle that an overload has begun.

        Parameters
        ----------
        episode : OverloadEpisode
            The overload.
        allowance : Allowance | None
            The router's allowance; None if it stops or has no limit.
        waiting : int
            Requests of the service that wait in this router.
        """

    @abstractmethod
    def ended(self, episode: OverloadEpisode) -> None:
        """Handle that an overload has ended.

        Parameters
        ----------
        episode : OverloadEpisode
            The overload.
        """

    @abstractmethod
    def delayed(self, service: str) -> None:
        """Handle that a request begins to wait.

        Parameters
        ----------
        service : str
            Its service.
        """

    @abstractmethod
    def waited(self, service: str, seconds: float) -> None:
        """Handle that a request waits no more, whether it was started or not.

        Parameters
        ----------
        service : str
            Its service.
        seconds : float
            For how long it waited.
        """

    @abstractmethod
    def refused(self, service: str, reason: OverloadReason) -> None:
        """Handle that a request is refused.

        Parameters
        ----------
        service : str
            Its service.
        reason : OverloadReason
            Why.
        """


class OverloadEpisodes:
    """Determines the episodes of overload of one service.

    Parameters
    ----------
    service : str
        Name of the service.
    observer : OverloadObserver
        Receives the episodes.
    """

    __slots__ = ("_episode", "_observer", "_service")

    def __init__(self, service: str, observer: OverloadObserver) -> None:
        self._service = service
        self._observer = observer
        self._episode: OverloadEpisode | None = None

    @property
    def ends_at(self) -> float | None:
        """Return when the present episode ends at the earliest; None for none."""
        return None if self._episode is None else self._episode.ends_at

    def delayed(self, allowance: Allowance | None, waiting: int, now: float) -> None:
        """Record that a request begins to wait.

        Parameters
        ----------
        allowance : Allowance | None
            The router's allowance.
        waiting : int
            Waiting requests of the service, including this one.
        now : float
            Current time in seconds.
        """
        self._present(allowance, waiting, now).delayed += 1
        self._observer.delayed(self._service)

    def waited(self, seconds: float, now: float) -> None:
        """Record that a request waits no more.

        Parameters
        ----------
        seconds : float
            For how long it waited.
        now : float
            Current time in seconds.
        """
        episode = self._episode
        if episode is not None:
            episode.last_at = now
            episode.longest_wait = max(episode.longest_wait, seconds)
        self._observer.waited(self._service, seconds)

    def refused(
        self,
        organisation: str,
        reason: OverloadReason,
        allowance: Allowance | None,
        waiting: int,
        now: float,
    ) -> None:
        """Record that a request is refused.

        Parameters
        ----------
        organisation : str
            Its organisation.
        reason : OverloadReason
            Why.
        allowance : Allowance | None
            The router's allowance.
        waiting : int
            Waiting requests of the service.
        now : float
            Current time in seconds.
        """
        self._present(allowance, waiting, now).refusals[organisation] += 1
        self._observer.refused(self._service, reason)

    def check_end(self, waiting: int, now: float) -> None:
        """End the episode if no request has waited or been refused for a while.

        Parameters
        ----------
        waiting : int
            Waiting requests of the service.
        now : float
            Current time in seconds.
        """
        episode = self._episode
        if episode is None:
            return
        if waiting:
            episode.last_at = now
        elif now >= episode.ends_at:
            self._episode = None
            self._observer.ended(episode)

    def shift_times(self, seconds: float) -> None:
        """Move the times of the episode, after the clock was set.

        Parameters
        ----------
        seconds : float
            By how much the clock was set forward; negative if it was set back.
        """
        if self._episode is not None:
            self._episode.began_at += seconds
            self._episode.last_at += seconds

    def _present(
        self, allowance: Allowance | None, waiting: int, now: float
    ) -> OverloadEpisode:
        episode = self._episode
        if episode is None:
            episode = OverloadEpisode(self._service, now, now)
            self._episode = episode
            self._observer.began(episode, allowance, waiting)
        episode.last_at = now
        return episode
