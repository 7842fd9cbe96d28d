"""What platforms that are reached by HTTP calls have in common."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from primrosescale.process.transport.http_call import HttpCaller
from primrosescale.process.transport.platform import Platform

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from primrosescale.connection.endpoint import Endpoint


class CalledPlatform(Platform):
    """A platform that is reached by HTTP calls.

    Parameters
    ----------
    reactor : Any
        Twisted's reactor.
    endpoint : Endpoint
        Where it listens.
    timeout : float
        Seconds an answer may take.
    """

    def __init__(self, reactor: Any, endpoint: Endpoint, timeout: float) -> None:
        self._caller = HttpCaller(reactor, endpoint, timeout)

    @property
    def calls(self) -> int:
        """Return how many calls were made."""
        return self._caller.calls

    def close(self) -> Deferred[None]:
        """Close idle connections.

        Returns
        -------
        Deferred[None]
            When they are closed.
        """
        return self._caller.close()
