"""A client of targets that tracks unread requests and reports lost connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primrosescale.request.attempt.forwarding_interfaces import ResponseObserver
from primrosescale.request.attempt.forwarding_interfaces import TargetClient

if TYPE_CHECKING:
    from collections.abc import Callable

    from primrosescale.clock import Clock
    from primrosescale.request.attempt.delivery_tracker import DeliveryTracker
    from primrosescale.request.attempt.delivery_tracker import SentAttempt
    from primrosescale.request.attempt.forwarding_interfaces import AnswerHead
    from primrosescale.request.attempt.forwarding_interfaces import InFlightRequest
    from primrosescale.request.attempt.forwarding_interfaces import OutgoingRequest
    from primrosescale.request.attempt.forwarding_interfaces import ProbeResult
    from primrosescale.request.target.target_incarnation import TargetIncarnation


class _TrackedAttempt(ResponseObserver):
    """Tracks one attempt, and passes everything on to its observer.

    Parameters
    ----------
    sending : OutgoingRequest
        The request as it is sent.
    observer : ResponseObserver
        Its observer.
    tracker : DeliveryTracker
        Tracks what targets have read.
    clock : Clock
        Source of time.
    on_lost : Callable[[TargetIncarnation, float], None]
        Called with the target and the time when a connection is lost or refused.
    """

    __slots__ = ("_attempt", "_clock", "_observer", "_on_lost", "_sending", "_tracker")

    def __init__(
        self,
        sending: OutgoingRequest,
        observer: ResponseObserver,
        tracker: DeliveryTracker,
        clock: Clock,
        on_lost: Callable[[TargetIncarnation, float], None],
    ) -> None:
        self._on_lost = on_lost
        self._sending = sending
        self._observer = observer
        self._tracker = tracker
        self._clock = clock
        self._attempt: SentAttempt | None = None

    def request_sent(self) -> None:
        """Track it from now on; see `ResponseObserver.request_sent`."""
        sending = self._sending
        self._attempt = self._tracker.sent(
            sending.request, sending.target.incarnation, self._clock.seconds()
        )
        self._observer.request_sent()

    def request_not_sent(self, detail: str) -> None:
        """Pass it on; see `ResponseObserver.request_not_sent`."""
        self._report_loss()
        self._observer.request_not_sent(detail)

    def response_head(self, head: AnswerHead) -> None:
        """Settle it if it is its own answer; see `ResponseObserver.response_head`."""
        if (
            self._attempt is not None
            and head.request_id == self._sending.request.request_id
        ):
            self._tracker.answered(self._attempt, self._clock.seconds())
        self._observer.response_head(head)

    def response_data(self, data: bytes) -> None:
        """Pass it on; see `ResponseObserver.response_data`."""
        self._observer.response_data(data)

    def response_done(self) -> None:
        """Pass it on; see `ResponseObserver.response_done`."""
        self._observer.response_done()

    def response_lost(self, detail: str) -> None:
        """Pass it on: the target may still read it; see `ResponseObserver`."""
        self._report_loss()
        self._observer.response_lost(detail)

    def _report_loss(self) -> None:
        self._on_lost(self._sending.target.incarnation, self._clock.seconds())


class TrackedTargetClient(TargetClient):
    """Sends requests by another client and tracks them.

    Parameters
    ----------
    client : TargetClient
        Sends the requests.
    tracker : DeliveryTracker
        Tracks what targets have read.
    clock : Clock
        Source of time.
    on_lost : Callable[[TargetIncarnation, float], None]
        Called with the target and the time when a connection is lost or refused.
    """

    __slots__ = ("_client", "_clock", "_on_lost", "_tracker")

    def __init__(
        self,
        client: TargetClient,
        tracker: DeliveryTracker,
        clock: Clock,
        on_lost: Callable[[TargetIncarnation, float], None] = lambda *_: None,
    ) -> None:
        self._on_lost = on_lost
        self._client = client
        self._tracker = tracker
        self._clock = clock

    def send(
        self, sending: OutgoingRequest, observer: ResponseObserver
    ) -> InFlightRequest:
        """Send a request; see `TargetClient.send`."""
        attempt = _TrackedAttempt(
            sending, observer, self._tracker, self._clock, self._on_lost
        )
        return self._client.send(sending, attempt)

    def check(
        self, target: TargetIncarnation, on_check: Callable[[ProbeResult], None]
    ) -> None:
        """Check a target; see `TargetClient.check`."""
        self._client.check(target, on_check)

    def abort_former(self, present: TargetIncarnation) -> None:
        """Abort requests at former incarnations; see `TargetClient.abort_former`."""
        self._client.abort_former(present)
