"""The HTTP ports of a router: one for callers, one for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from primrosescale.connection.early_listener import limit_receive_buffers
from primrosescale.process.callers.caller_guard import CallerGuard
from primrosescale.process.callers.descriptors import callers_connections
from primrosescale.process.callers.guard_reports import GuardReports
from primrosescale.process.callers.guard_settings import GuardSettings
from primrosescale.process.transport.bounded_request import BoundedRequest
from primrosescale.process.transport.quiet_site import QuietSite

if TYPE_CHECKING:
    from primrosescale.process.administration.admin_resource import AdminResource
    from primrosescale.process.daemons.daemon import DaemonContext
    from primrosescale.process.settings import RouterSettings
    from primrosescale.process.transport.callers_resource import CallersResource

MAX_ADMIN_BODY_BYTES = 32_000_000
# Shares of the memory for callers and operators.
REQUESTS_SHARE = 0.3
BODIES_SHARE = 0.45
# Copies of a body that exist while it is received and sent on as a frame.
BODY_COPIES = 5


def guard_settings(settings: RouterSettings) -> GuardSettings:
    """Derive what callers and operators may take from the settings of a router.

    Parameters
    ----------
    settings : RouterSettings
        The settings.

    Returns
    -------
    GuardSettings
        The limits.
    """
    requests = int(REQUESTS_SHARE * settings.callers_memory)
    bodies = int(BODIES_SHARE * settings.callers_memory)
    return GuardSettings(
        memory=settings.callers_memory - requests - bodies,
        request_memory=requests,
        body_memory=bodies,
        body_copies=BODY_COPIES,
        connections=callers_connections(),
    )


class RouterSites:
    """Opens the ports of callers and operators, and bounds what these take.

    Parameters
    ----------
    settings : RouterSettings
        Settings of the router.
    context : DaemonContext
        Reactor and log.
    """

    def __init__(self, settings: RouterSettings, context: DaemonContext) -> None:
        self._settings = settings
        self._context = context
        self._guard = CallerGuard(guard_settings(settings), context.reactor)
        self._reports: GuardReports | None = None

    @property
    def memory_used(self) -> int:
        """Return the bytes that callers and operators take."""
        guard = self._guard
        return guard.account.used + guard.requests.used + guard.bodies.used

    def listen_callers(self, resource: CallersResource) -> Any:
        """Open the port of callers.

        Parameters
        ----------
        resource : CallersResource
            Serves their requests.

        Returns
        -------
        Any
            The listening port.
        """

        class CallersRequest(BoundedRequest):
            """A caller's request; its body is not read before it is authorised."""

        CallersRequest.limit = self._settings.body_limit
        CallersRequest.refuse_body = staticmethod(resource.refusal_by_head)
        site = self._site(resource, CallersRequest)
        self._reports = GuardReports(self._guard, site.caller_port, self._context.log)
        return self._listen(self._settings.port, site)

    def listen_operators(self, resource: AdminResource) -> Any:
        """Open the port of the administration API.

        Parameters
        ----------
        resource : AdminResource
            Serves the requests of operators.

        Returns
        -------
        Any
            The listening port.
        """

        class OperatorsRequest(BoundedRequest):
            """An operator's request; its body is not read without a known key."""

        OperatorsRequest.limit = MAX_ADMIN_BODY_BYTES
        OperatorsRequest.refuse_body = staticmethod(resource.refusal_by_head)
        site = self._site(resource, OperatorsRequest)
        return self._listen(self._settings.admin_port, site)

    def report(self, now: float) -> None:
        """Log the limits that were met; see `GuardReports`.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        if self._reports is not None:
            self._reports.emit_due(now)

    def stop(self) -> None:
        """Stop the timers."""
        self._guard.stop()

    def _site(self, resource: Any, request_factory: type[BoundedRequest]) -> QuietSite:
        timeout = self._settings.idle_timeout
        return QuietSite(resource, request_factory, timeout, self._guard)

    def _listen(self, number: int, site: QuietSite) -> Any:
        address = self._settings.address
        port = self._context.reactor.listenTCP(number, site, interface=address)
        limit_receive_buffers(port.socket)
        site.caller_port.open(port)
        return port
