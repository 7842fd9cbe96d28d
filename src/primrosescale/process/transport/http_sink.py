"""The HTTP side of one call."""

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
from primrosescale.request.answer_sink import AnswerSink

if TYPE_CHECKING:
    from twisted.web.server import Request

    from primrosescale.connection.wire.ttypes import Header
    from primrosescale.request.attempts import AttemptFailure
    from primrosescale.request.routed_call import RoutedCall


@implementer(IPushProducer)
class HttpSink(AnswerSink):
    """Writes an answer to a caller.

    An unstreamed answer is held until it is whole, so that a cut one never
    reaches the caller; beyond the limit it is passed on in chunks, which a
    cut leaves without their end.

    Parameters
    ----------
    request : Request
        The caller's request.
    is_streamed : bool
        Whether the caller reads the answer as it comes.
    answer_limit : int
        Bytes of an unstreamed answer that are held.
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
        self._held: list[bytes] = []
        self._held_size = 0
        self._has_begun = False
        self._is_blocked = False
        self._is_gone = False

    @property
    def has_begun(self) -> bool:
        """Tell whether the caller has been given any of the answer."""
        return self._has_begun

    @property
    def is_blocked(self) -> bool:
        """Tell whether the caller does not take bytes at the moment."""
        return self._is_blocked

    def bind(self, call: RoutedCall) -> None:
        """Follow a call, and cancel it when the caller goes away.

        Parameters
        ----------
        call : RoutedCall
            The call.
        """
        self._call = call
        self._request.notifyFinish().addErrback(self._caller_gone)

    def head(self, status: int, headers: list[Header]) -> None:
        """Take in status and headers; see `AnswerSink.head`."""
        self._status = status
        self._headers = headers

    def data(self, data: bytes) -> None:
        """Take in bytes of the answer; see `AnswerSink.data`."""
        if self._is_gone:
            return
        if self._has_begun:
            self._request.write(data)
            return
        self._held.append(data)
        self._held_size += len(data)
        if self._is_streamed or self._held_size > self._answer_limit:
            self._begin()

    def reset(self) -> None:
        """Drop what came of an attempt; see `AnswerSink.reset`."""
        self._status = 0
        self._headers = []
        self._held = []
        self._held_size = 0

    def finish(self) -> None:
        """Take in that the answer is whole; see `AnswerSink.finish`."""
        if self._is_gone:
            return
        if not self._has_begun:
            self._write_head()
            length = str(self._held_size).encode()
            self._request.setHeader(b"content-length", length)
            self._request.write(b"".join(self._held))
        else:
            self._request.unregisterProducer()
        self._request.finish()

    def refuse(self, failure: AttemptFailure) -> None:
        """Take in that there is no answer; see `AnswerSink.refuse`."""
        if not self._is_gone:
            write_problem(self._request, _document(failure))

    def cut(self, failure: AttemptFailure) -> None:
        """Take in that the answer ends here; see `AnswerSink.cut`."""
        if self._is_gone:
            return
        if self._is_streamed:
            document = _document(failure).encode().decode()
            event = f"event: error\ndata: {document}\n\n"
            self._request.write(event.encode())
        self._request.unregisterProducer()
        self._request.loseConnection()

    def pauseProducing(self) -> None:
        """Take in that the caller does not keep up."""
        self._is_blocked = True

    def resumeProducing(self) -> None:
        """Take in that the caller takes bytes again."""
        self._is_blocked = False
        if self._call is not None:
            self._call.caller_ready()

    def stopProducing(self) -> None:
        """Take in that the caller has gone away."""
        self._is_blocked = True

    def _begin(self) -> None:
        self._has_begun = True
        self._write_head()
        self._request.registerProducer(self, streaming=True)
        held, self._held = self._held, []
        self._request.write(b"".join(held))

    def _write_head(self) -> None:
        self._request.setResponseCode(self._status)
        for item in self._headers:
            name = item.name.encode("latin-1")
            self._request.responseHeaders.addRawHeader(
                name, item.value.encode("latin-1")
            )

    def _caller_gone(self, _: Any) -> None:
        self._is_gone = True
        if self._call is not None:
            self._call.cancel()


def write_problem(request: Request, document: ProblemDocument) -> None:
    """Answer a request with an error.

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
        What to say.
    """
    body = json.dumps(fields).encode()
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    request.setHeader(b"content-length", str(len(body)).encode())
    request.write(body)
    request.finish()


def _document(failure: AttemptFailure) -> ProblemDocument:
    outcome = Outcome(failure.outcome)
    return ProblemDocument(
        problem_of(outcome, failure.reason),
        failure.detail,
        has_run=outcome is not Outcome.NOT_RUN,
        retry_after=failure.retry_after,
    )
