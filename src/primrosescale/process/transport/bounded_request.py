"""HTTP server requests with a limited body size that are kept in memory only."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import parse_qs

from twisted.web.server import Request

from primrosescale.process.callers.bounded_body import BoundedBody
from primrosescale.process.transport.http_sink import write_problem
from primrosescale.process.transport.problems import OVERLOADED
from primrosescale.process.transport.problems import TOO_LARGE
from primrosescale.process.transport.problems import ProblemDocument

if TYPE_CHECKING:
    from collections.abc import Callable

RETRY_AFTER_SECONDS = 1.0


def _accept_any_body(_: Any) -> ProblemDocument | None:
    """Accept every body."""
    return None


class BoundedRequest(BoundedBody, Request):
    """A request that is refused before its body is read if the body is not allowed."""

    limit = 0
    refuse_body: Callable[[Any], ProblemDocument | None] = staticmethod(
        _accept_any_body
    )

    @property
    def body_limit(self) -> int:
        """Return the bytes that the body may have."""
        return self.limit

    def gotLength(self, length: int | None) -> None:
        """Refuse a body that is too large or that `refuse_body` rejects.

        Parameters
        ----------
        length : int | None
            Announced length in bytes; None for a chunked body.
        """
        super().gotLength(length)
        if length == 0 or self.is_long or self.is_refused:
            return
        answer = self.refusal_by_head()
        if answer is not None:
            self.refuse(answer)

    def refusal_by_head(self) -> Callable[[], None] | None:
        """Return how to refuse the body; see `BoundedBody.refusal_by_head`."""
        self.name_request()
        document = type(self).refuse_body(self)
        return None if document is None else partial(self._answer, document)

    def answer_too_large(self) -> None:
        """Refuse the request; see `BoundedBody.answer_too_large`."""
        self._answer(ProblemDocument(TOO_LARGE, f"at most {self.limit} bytes"))

    def answer_no_memory(self) -> None:
        """Refuse the request; see `BoundedBody.answer_no_memory`."""
        detail = "there is no memory for the request's body now"
        document = ProblemDocument(
            OVERLOADED, detail, may_have_run=False, retry_after=RETRY_AFTER_SECONDS
        )
        self._answer(document)

    def process(self) -> None:
        """Parse the query, and look up the resource."""
        self.path, _, query = self.uri.partition(b"?")
        self.args: Any = parse_qs(query, keep_blank_values=True)
        self.content.seek(0)
        super().process()

    def body_sent(self) -> None:
        """Count the body once: its copies have been sent to a target."""
        if self.channel is not None:
            self.channel.body_sent()

    def _answer(self, document: ProblemDocument) -> None:
        if self.is_refused:
            self.responseHeaders.setRawHeaders(b"Connection", [b"close"])
        write_problem(self, document)
