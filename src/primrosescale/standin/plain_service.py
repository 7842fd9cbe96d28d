"""A stand-in for a plain service that counts how often it ran each case."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from primrosescale.process.transport.http_bodies import request_body

if TYPE_CHECKING:
    from collections import Counter

    from twisted.web.server import Request

    from primrosescale.clock import Clock


class PlainServiceResource(Resource):
    """Answers every request after a delay and counts runs by case.

    Parameters
    ----------
    name : str
        Name of the target.
    delay : float
        Seconds until a request is answered.
    clock : Clock
        Source of timers.
    runs : Counter[str]
        Number of runs by the ``case`` in a request's body; may be shared.
    """

    isLeaf = True

    def __init__(
        self,
        name: str,
        delay: float,
        clock: Clock,
        runs: Counter[str],
    ) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._name = name
        self._delay = delay
        self._clock = clock
        self._runs = runs

    @property
    def runs(self) -> Counter[str]:
        """Return the number of runs by case."""
        return self._runs

    def render(self, request: Request) -> int:
        """Answer one request.

        Parameters
        ----------
        request : Request
            The request.

        Returns
        -------
        int
            `NOT_DONE_YET`.
        """
        gone: list[bool] = []
        request.notifyFinish().addErrback(lambda _: gone.append(True))
        case = _parse_case(request_body(request))
        if case:
            self._runs[case] += 1
        self._clock.callLater(self._delay, self._send_answer, request, case, gone)
        return NOT_DONE_YET

    def _send_answer(self, request: Request, case: str, gone: list[bool]) -> None:
        if gone:
            return
        echo = request.getHeader("X-Request-Id") or ""
        fields: dict[str, Any] = {
            "target": self._name,
            "path": request.uri.decode(),
            "case": case,
            "runs": self._runs[case] if case else 0,
        }
        body = json.dumps(fields).encode()
        request.setHeader(b"x-request-id", echo.encode())
        request.setHeader(b"content-type", b"application/json")
        request.setHeader(b"content-length", str(len(body)).encode())
        request.write(body)
        request.finish()


def _parse_case(body: bytes) -> str:
    try:
        fields = json.loads(body) if body else {}
    except ValueError:
        return ""
    return str(fields.get("case", "")) if isinstance(fields, dict) else ""
