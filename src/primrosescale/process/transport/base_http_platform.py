"""Common base of the platform clients that use HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from primrosescale.process.transport.http_client import HttpClient
from primrosescale.process.transport.platform import Platform
from primrosescale.process.transport.read_pacing import DEFAULT_MAX_PACED_SECONDS

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from primrosescale.connection.endpoint import Endpoint


class BaseHttpPlatform(Platform):
    """A platform whose service is called over HTTP.

    Parameters
    ----------
    reactor : Any
        Twisted's reactor.
    endpoint : Endpoint
        Endpoint of the service.
    timeout : float
        Maximum seconds to wait for an answer.
    """

    def __init__(self, reactor: Any, endpoint: Endpoint, timeout: float) -> None:
        self._client = HttpClient(reactor, endpoint, timeout)

    @property
    def calls(self) -> int:
        """Return the number of calls made."""
        return self._client.calls

    @property
    def is_receiving(self) -> bool:
        """Return whether a large answer is being received."""
        return self._client.is_receiving

    def pace_reads(
        self,
        link_rate: float | None,
        max_seconds: float = DEFAULT_MAX_PACED_SECONDS,
    ) -> None:
        """Read large answers with pauses; see `Platform.pace_reads`."""
        self._client.pace_reads(link_rate, max_seconds)

    def close(self) -> Deferred[None]:
        """Close idle connections.

        Returns
        -------
        Deferred[None]
            Fires when they are closed.
        """
        return self._client.close()
