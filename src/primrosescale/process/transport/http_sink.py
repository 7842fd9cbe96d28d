"""Writes the answer of one call to its caller over HTTP."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

from primrosescale.connection.wire.ttypes import Outcome
from primrosescale.process.transport.problems import CONTENT_TYPE
from primrosescale.process.transport.problems import ProblemDocument
from primrosescale.process.transport.problems import problem_of
from primrosescale.request.answer.answer_sink import AnswerSink

if TYPE_CHECKING:
    from twisted.web.server import Request

    from primrosescale.connection.wire.ttypes import Header
    from primrosescale.request.attempt.attempts import AttemptFailure
    from primrosescale.request.attempt.routed_call import RoutedCall


@implementer(IPushProducer)
class HttpSink(AnswerSink):
    """Writes the answer of a call to the HTTP connection of its caller.

    A non-streamed answer is buffered until it is complete, so that a truncated
    one never reaches the caller. Beyond the limit it is passed on in chunks; if
    it is truncated after that, the final chunk is never sent.

    Parameters
    ----------
    request : Request
        The caller's request.
    is_streamed : bool
        Whether the answer is passed on as it arrives.
    answer_limit : int
        Maximum bytes of a non-streamed answer that are buffered.
    """

    def __init__(
        self, request: Request, *, is_streamed: bool, answer_limit: int
    ) -> None:
        self._request = request
        self._is_streamed = is_streamed
        self._answer_limit = answer_limit
        self._call: RoutedCall | None = None
        self._status = 0
        self._headers: list[Header] = []
        self._buffered: list[bytes] = []
        self._buffered_bytes = 0
        self._has_begun = False
        self._is_blocked = False
        self._is_caller_gone = False

    @property
    def has_begun(self) -> bool:
        """Return whether a part of the answer was sent to the caller."""
        return self._has_begun

    @property
    def is_blocked(self) -> bool:
        """Return whether the connection to the caller applies back-pressure."""
        return self._is_blocked

    def bind(self, call: RoutedCall) -> None:
        """Attach the call; it is cancelled if the caller disconnects.

        Parameters
        ----------
        call : RoutedCall
            The call.
        """
        self._call = call
        self._request.notifyFinish().addErrback(self._caller_gone)

    def head(self, status: int, headers: list[Header]) -> None:
        """Store status and headers; see `AnswerSink.head`."""
        request: Any = self._request
        request.body_sent()
        self._status = status
        self._headers = headers

    def data(self, data: bytes) -> None:
        """Buffer or send bytes of the answer; see `AnswerSink.data`."""
        if self._is_caller_gone:
            return
        if self._has_begun:
            self._request.write(data)
            return
        self._buffered.append(data)
        self._buffered_bytes += len(data)
        if self._is_streamed or self._buffered_bytes > self._answer_limit:
            self._begin()

    def reset(self) -> None:
        """Discard what was received from an attempt; see `AnswerSink.reset`."""
        self._status = 0
        self._headers = []
        self._buffered = []
        self._buffered_bytes = 0

    def finish(self) -> None:
        """Send the rest of a complete answer; see `AnswerSink.finish`."""
        if self._is_caller_gone:
            return
        if not self._has_begun:
            self._write_head()
            length = str(self._buffered_bytes).encode()
            self._request.setHeader(b"content-length", length)
            self._request.write(b"".join(self._buffered))
        else:
            self._request.unregisterProducer()
        self._request.finish()

    def refuse(self, failure: AttemptFailure) -> None:
        """Send an error in place of an answer; see `AnswerSink.refuse`."""
        if not self._is_caller_gone:
            write_problem(self._request, _problem_document(failure))

    def cut(self, failure: AttemptFailure) -> None:
        """End an answer that cannot be completed; see `AnswerSink.cut`."""
        if self._is_caller_gone:
            return
        if self._is_streamed:
            document = _problem_document(failure).encode().decode()
            event = f"event: error\ndata: {document}\n\n"
            self._request.write(event.encode())
        self._request.unregisterProducer()
        self._request.loseConnection()

    def pauseProducing(self) -> None:
        """Record that the caller reads too slowly."""
        self._is_blocked = True

    def resumeProducing(self) -> None:
        """Record that the caller can receive again, and resume the call."""
        self._is_blocked = False
        if self._call is not None:
            self._call.caller_ready()

    def stopProducing(self) -> None:
        """Record that the caller has disconnected."""
        self._is_blocked = True

    def _begin(self) -> None:
        self._has_begun = True
        self._write_head()
        self._request.registerProducer(self, streaming=True)
        buffered, self._buffered = self._buffered, []
        self._request.write(b"".join(buffered))

    def _write_head(self) -> None:
        self._request.setResponseCode(self._status)
        for item in self._headers:
            name = item.name.encode("latin-1")
            self._request.responseHeaders.addRawHeader(
                name, item.value.encode("latin-1")
            )

    def _caller_gone(self, _: Any) -> None:
        self._is_caller_gone = True
        if self._call is not None:
            self._call.cancel()


def write_problem(request: Request, document: ProblemDocument) -> None:
    """Answer a request with a problem document.

    Parameters
    ----------
    request : Request
        The request.
    document : ProblemDocument
        The error.
    """
    body = document.encode()
    request.setResponseCode(document.problem.status)
    request.setHeader(b"content-type", CONTENT_TYPE.encode())
    request.setHeader(b"content-length", str(len(body)).encode())
    if document.retry_header:
        request.setHeader(b"retry-after", document.retry_header.encode())
    request.write(body)
    request.finish()


def write_json(request: Request, status: int, fields: Any) -> None:
    """Answer a request with JSON.

    Parameters
    ----------
    request : Request
        The request.
    status : int
        HTTP status.
    fields : Any
        Value to encode as the body.
    """
    body = json.dumps(fields).encode()
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    request.setHeader(b"content-length", str(len(body)).encode())
    request.write(body)
    request.finish()


def _problem_document(failure: AttemptFailure) -> ProblemDocument:
    outcome = Outcome(failure.outcome)
    return ProblemDocument(
        problem_of(outcome, failure.reason),
        failure.detail,
        may_have_run=outcome is not Outcome.NOT_RUN,
        retry_after=failure.retry_after,
    )
