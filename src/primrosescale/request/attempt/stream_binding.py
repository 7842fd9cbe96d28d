"""Binds a stream to the software version that sent its first event.

From then on it may continue only at targets of that version; see `CandidateTargets`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from primrosescale.request.stream.stream_origin import StreamOrigin

if TYPE_CHECKING:
    from primrosescale.request.attempt.forwarding_context import ForwardingContext
    from primrosescale.request.attempt.target_attempt import TargetAttempt
    from primrosescale.request.incoming_request import IncomingRequest


class StreamBinding:
    """The software version of the stream that answers one request.

    Parameters
    ----------
    request : IncomingRequest
        The request, whose `stream_origin` is set.
    tools : ForwardingContext
        Collaborators that all calls share.
    """

    __slots__ = ("_has_begun", "_request", "_tools")

    def __init__(self, request: IncomingRequest, tools: ForwardingContext) -> None:
        self._request = request
        self._tools = tools
        self._has_begun = False

    def first_event_sent(self, attempt: TargetAttempt, now: float) -> None:
        """Bind the stream to the version of the attempt, unless it was taken up again.

        Parameters
        ----------
        attempt : TargetAttempt
            The attempt whose event is the first that this answer has.
        now : float
            Current time in seconds.
        """
        self._has_begun = True
        request = self._request
        version = attempt.software_version
        if self._tools.version_doubts.is_in_doubt(attempt.incarnation, now):
            version = None
        if request.stream_origin is None or version is None:
            origin = StreamOrigin(request.service, version)
            request.stream_origin = origin
        self._tools.stream_began(request, now)

    def target_replaced(
        self, attempt: TargetAttempt, software_version: str, now: float
    ) -> bool:
        """Handle that the target of an attempt has restarted with another version.

        What was sent to it before this was known may have been answered by either.

        Parameters
        ----------
        attempt : TargetAttempt
            An attempt at its former incarnation.
        software_version : str
            Its present software version.
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether its present version is another one.
        """
        if attempt.software_version == software_version:
            return False
        attempt.version_uncertain()
        if self._has_begun and attempt.head is not None:
            request = self._request
            request.stream_origin = StreamOrigin(request.service, None)
            self._tools.stream_began(request, now)
        return True
