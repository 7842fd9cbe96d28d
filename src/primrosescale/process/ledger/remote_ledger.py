"""Client of the ledger in an agent: sends claims to the routers that write it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred

from primrosescale.clock import cancel_timer
from primrosescale.connection.endpoint import Endpoint
from primrosescale.connection.wire import ttypes as wire
from primrosescale.connection.wire.ttypes import ClaimState
from primrosescale.connection.wire.ttypes import ClaimVerb
from primrosescale.request.claim import Ledger

if TYPE_CHECKING:
    from collections.abc import Callable

    from primrosescale.clock import Clock
    from primrosescale.clock import Timer
    from primrosescale.connection.link import Link
    from primrosescale.connection.pool import LinkPool
    from primrosescale.request.claim import Claim

INITIAL_RETRY_DELAY_SECONDS = 1.0
MAX_RETRY_DELAY_SECONDS = 60.0
MAX_UNSETTLED = 10_000


class _OutstandingRequest:
    """A request sent to a router and not replied to yet."""

    __slots__ = ("link", "request", "result", "timer")

    def __init__(self, request: wire.ClaimRequest) -> None:
        self.request = request
        self.result: Deferred[wire.ClaimReply] = Deferred()
        self.link: Link | None = None
        self.timer: Timer | None = None


class RemoteLedger(Ledger):
    """Sends claims to the writer of a key's bucket, then to the calling router.

    Recorded answers and abandoned claims are sent again until a router has
    stored them, so that a short outage of the platform loses neither. While
    `MAX_UNSETTLED` of them are not stored yet, further ones are dropped.

    Parameters
    ----------
    pool : LinkPool
        Connections to routers.
    clock : Clock
        Source of time and timers.
    timeout : float
        Seconds that one router has to reply.
    alternate : Callable[[], Endpoint | None]
        Returns a live router for retries; None when there is none.
    """

    def __init__(
        self,
        pool: LinkPool,
        clock: Clock,
        timeout: float,
        alternate: Callable[[], Endpoint | None],
    ) -> None:
        self._alternate = alternate
        self._pool = pool
        self._clock = clock
        self._timeout = timeout
        self._next_number = 0
        self._outstanding: dict[int, _OutstandingRequest] = {}
        self._unsettled = 0

    @property
    def unsettled(self) -> int:
        """Return the number of answers and abandoned claims not stored yet."""
        return self._unsettled

    def claim(self, claim: Claim, link: Link | None) -> Deferred[wire.ClaimReply]:
        """Claim a key; see `Ledger.claim`."""
        result: Deferred[wire.ClaimReply] = Deferred()
        first = self._request_from(ClaimVerb.CLAIM, claim, None, _endpoint_of(claim))

        def answer_or_retry(reply: wire.ClaimReply) -> None:
            is_usable = link is not None and not link.is_lost
            if reply.state != ClaimState.UNAVAILABLE or not is_usable:
                result.callback(reply)
                return
            second = self._request_over(ClaimVerb.CLAIM, claim, None, link)
            second.addCallback(result.callback)

        first.addCallback(answer_or_retry)
        return result

    def record(self, claim: Claim, answer: wire.StoredAnswer) -> None:
        """Store the answer of a claim; see `Ledger.record`."""
        self._deliver(ClaimVerb.RECORD, claim, answer)

    def abandon(self, claim: Claim) -> None:
        """Abandon a claim; see `Ledger.abandon`."""
        self._deliver(ClaimVerb.ABANDON, claim, None)

    def link_message(self, message: wire.ClaimReply) -> None:
        """Complete the request that a router has replied to.

        Parameters
        ----------
        message : wire.ClaimReply
            The reply; one to a request no longer outstanding is dropped.
        """
        outstanding = self._outstanding.get(message.number)
        if outstanding is not None:
            self._complete(outstanding, message)

    def link_lost(self, link: Link) -> None:
        """End the requests sent over a lost connection as unavailable.

        Parameters
        ----------
        link : Link
            The connection.
        """
        for outstanding in list(self._outstanding.values()):
            if outstanding.link is link:
                self._complete_unavailable(outstanding)

    def _deliver(
        self,
        verb: ClaimVerb,
        claim: Claim,
        answer: wire.StoredAnswer | None,
    ) -> None:
        if self._unsettled >= MAX_UNSETTLED:
            return
        self._unsettled += 1
        self._try_delivery(verb, claim, answer, INITIAL_RETRY_DELAY_SECONDS)

    def _try_delivery(
        self,
        verb: ClaimVerb,
        claim: Claim,
        answer: wire.StoredAnswer | None,
        delay: float,
    ) -> None:
        is_first = delay == INITIAL_RETRY_DELAY_SECONDS
        endpoint = _endpoint_of(claim) if is_first else self._alternate()
        replied = self._request_from(verb, claim, answer, endpoint)

        def retry_if_unavailable(reply: wire.ClaimReply) -> None:
            if reply.state != ClaimState.UNAVAILABLE:
                self._unsettled -= 1
                return
            next_delay = min(MAX_RETRY_DELAY_SECONDS, delay * 2)
            self._clock.callLater(
                delay, self._try_delivery, verb, claim, answer, next_delay
            )

        replied.addCallback(retry_if_unavailable)

    def _request_from(
        self,
        verb: ClaimVerb,
        claim: Claim,
        answer: wire.StoredAnswer | None,
        endpoint: Endpoint | None,
    ) -> Deferred[wire.ClaimReply]:
        outstanding = self._new_request(verb, claim, answer)
        if endpoint is None:
            self._complete_unavailable(outstanding)
            return outstanding.result
        connecting = self._pool.get(endpoint)
        connecting.addCallbacks(
            lambda link: self._send(outstanding, link),
            lambda _: self._complete_unavailable(outstanding),
        )
        return outstanding.result

    def _request_over(
        self,
        verb: ClaimVerb,
        claim: Claim,
        answer: wire.StoredAnswer | None,
        link: Link | None,
    ) -> Deferred[wire.ClaimReply]:
        outstanding = self._new_request(verb, claim, answer)
        if link is None or link.is_lost:
            self._complete_unavailable(outstanding)
        else:
            self._send(outstanding, link)
        return outstanding.result

    def _new_request(
        self,
        verb: ClaimVerb,
        claim: Claim,
        answer: wire.StoredAnswer | None,
    ) -> _OutstandingRequest:
        self._next_number += 1
        request = wire.ClaimRequest(
            self._next_number,
            verb,
            claim.key,
            claim.token,
            claim.fingerprint,
            answer,
        )
        outstanding = _OutstandingRequest(request)
        self._outstanding[self._next_number] = outstanding
        outstanding.timer = self._clock.callLater(
            self._timeout, self._timed_out, outstanding
        )
        return outstanding

    def _send(self, outstanding: _OutstandingRequest, link: Link) -> None:
        if outstanding.request.number in self._outstanding:
            outstanding.link = link
            link.send(outstanding.request)

    def _timed_out(self, outstanding: _OutstandingRequest) -> None:
        outstanding.timer = None
        self._complete_unavailable(outstanding)

    def _complete_unavailable(self, outstanding: _OutstandingRequest) -> None:
        number = outstanding.request.number
        self._complete(outstanding, wire.ClaimReply(number, ClaimState.UNAVAILABLE))

    def _complete(
        self, outstanding: _OutstandingRequest, reply: wire.ClaimReply
    ) -> None:
        if self._outstanding.pop(outstanding.request.number, None) is None:
            return
        cancel_timer(outstanding.timer)
        outstanding.result.callback(reply)


def _endpoint_of(claim: Claim) -> Endpoint | None:
    address, _, port = claim.writer.rpartition(":")
    if not address or not port.isdigit():
        return None
    return Endpoint(address, int(port))
