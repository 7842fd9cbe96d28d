"""HTTP site without an access log; processes log their own events instead."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from twisted.web.server import Site

if TYPE_CHECKING:
    from twisted.web.resource import Resource


class QuietSite(Site):
    """A site without an access log and without tracebacks to callers.

    Parameters
    ----------
    resource : Resource
        Resource to serve.
    request_factory : Any
        Creates the request objects.
    timeout : float
        Seconds without data after which a connection is closed.
    """

    noisy = False
    displayTracebacks = False

    def __init__(
        self, resource: Resource, request_factory: Any, timeout: float
    ) -> None:
        super().__init__(resource, timeout=timeout)  # type: ignore[no-untyped-call]
        self.requestFactory = request_factory

    def log(self, request: Any) -> None:
        """Write no access log.

        Parameters
        ----------
        request : Any
            The request.
        """
