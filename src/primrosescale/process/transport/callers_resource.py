"""HTTP resource for callers: chat completions, plain services and health checks."""

from __future__ import annotations

import json
from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from primrosescale.connection.wire.ttypes import Header
from primrosescale.process.exceptions import ProcessError
from primrosescale.process.tracing import TRACEPARENT_HEADER as TRACE_HEADER
from primrosescale.process.transport import problems
from primrosescale.process.transport.http_bodies import request_body
from primrosescale.process.transport.http_sink import HttpSink
from primrosescale.process.transport.http_sink import write_json
from primrosescale.process.transport.http_sink import write_problem
from primrosescale.process.transport.problems import ProblemDocument
from primrosescale.request.call_request import CallRequest
from primrosescale.request.capacity.work_estimate import estimate_tokens

if TYPE_CHECKING:
    from twisted.web.server import Request

    from primrosescale.version.records import OrganisationRecord
    from primrosescale.version.records import ServiceRecord
    from primrosescale.version.view import VersionView

CHAT_PATH = "/v1/chat/completions"
SERVICES_PREFIX = "/services/"
TIMEOUT_HEADER = "X-Request-Timeout"
CHAT_ID_HEADER = "X-Chat-Id"
CHAT_ID_FIELD = "chat_id"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
BEARER_PREFIX = "Bearer "
ORGANISATION_ATTRIBUTE = "primrosescale_organisation"
MAX_VALUE_CHARACTERS = 256
FORWARDED_HEADERS = ("accept", "accept-language", "content-type")
FIRST_PRINTABLE = " "
LAST_PRINTABLE = "~"


class RefusedError(ProcessError):
    """A request is refused before any work is done for it.

    Parameters
    ----------
    problem : problems.Problem
        Kind of the error.
    detail : str
        Details of this occurrence.
    retry_after : float
        Seconds after which the caller should retry; 0 for no advice.
    """

    def __init__(
        self,
        problem: problems.Problem,
        detail: str = "",
        retry_after: float = 0.0,
    ) -> None:
        super().__init__(detail or problem.title, problem.remedy)
        self._document = ProblemDocument(problem, detail, retry_after=retry_after)

    @property
    def document(self) -> ProblemDocument:
        """Return the problem document for the caller."""
        return self._document


class CallRouter(ABC):
    """Interface of the router that `CallersResource` uses."""

    @property
    @abstractmethod
    def is_ready(self) -> bool:
        """Return whether the router accepts requests."""

    @property
    @abstractmethod
    def view(self) -> VersionView | None:
        """Return the configuration version in force."""

    @abstractmethod
    def now(self) -> float:
        """Return the current time in seconds."""

    @abstractmethod
    def limit(self, organisation: OrganisationRecord) -> float:
        """Count a request against its organisation's rate limit.

        Parameters
        ----------
        organisation : OrganisationRecord
            The organisation that sent the request.

        Returns
        -------
        float
            0 if it may run, otherwise the seconds after which to retry.
        """

    @property
    @abstractmethod
    def is_full(self) -> bool:
        """Return whether the limit of requests in flight is reached."""

    @abstractmethod
    def ledger_endpoint(self, service: str, organisation: str, key: str) -> str:
        """Return the endpoint of the router that writes the claim of a key.

        Parameters
        ----------
        service : str
            Name of the service.
        organisation : str
            Name of the organisation that sent the key.
        key : str
            The idempotency key.

        Returns
        -------
        str
            ``address:port``; empty when no router is known.
        """

    @abstractmethod
    def route(
        self,
        request: CallRequest,
        service: ServiceRecord,
        view: VersionView,
        sink: HttpSink,
    ) -> None:
        """Route a call.

        Parameters
        ----------
        request : CallRequest
            The call.
        service : ServiceRecord
            Its service.
        view : VersionView
            The configuration version under which it was accepted.
        sink : HttpSink
            Writes the answer to the caller.
        """


@dataclass(frozen=True, slots=True)
class _Chat:
    """The fields of a chat request that the router uses."""

    model: str
    chat: str
    is_streamed: bool
    output_tokens: int


class CallersResource(Resource):
    """Validates and authorises callers' requests and passes them to the router.

    Parameters
    ----------
    router : CallRouter
        The router.
    answer_limit : int
        Maximum bytes of a non-streamed answer that are buffered.
    """

    isLeaf = True

    def __init__(self, router: CallRouter, answer_limit: int) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._router = router
        self._answer_limit = answer_limit

    def render(self, request: Request) -> int:
        """Serve a request.

        Parameters
        ----------
        request : Request
            The request.

        Returns
        -------
        int
            `NOT_DONE_YET`.
        """
        path = request.path.decode("latin-1")
        try:
            if path in {"/healthz", "/readyz"}:
                self._health(request, path)
            elif path == CHAT_PATH:
                self._chat(request)
            elif path.startswith(SERVICES_PREFIX):
                self._service(request, path)
            else:
                write_problem(request, ProblemDocument(problems.NOT_FOUND, path))
        except RefusedError as error:
            write_problem(request, error.document)
        return NOT_DONE_YET

    def authorise(self, request: Request) -> OrganisationRecord:
        """Return the organisation of a request and cache it on the request.

        Parameters
        ----------
        request : Request
            The request; its body may not have been received yet.

        Returns
        -------
        OrganisationRecord
            The organisation.

        Raises
        ------
        RefusedError
            If the router is not ready or the API key is unknown.
        """
        view = self._router.view
        if view is None or not self._router.is_ready:
            raise RefusedError(problems.NOT_READY, retry_after=1.0)
        known: OrganisationRecord | None = getattr(
            request, ORGANISATION_ATTRIBUTE, None
        )
        if known is not None:
            return known
        authorization = request.getHeader("Authorization") or ""
        if not authorization.startswith(BEARER_PREFIX):
            raise RefusedError(problems.UNAUTHORISED)
        organisation = view.organisation_of(authorization[len(BEARER_PREFIX) :].strip())
        if organisation is None:
            raise RefusedError(problems.UNAUTHORISED)
        setattr(request, ORGANISATION_ATTRIBUTE, organisation)
        return organisation

    def refusal_by_head(self, request: Request) -> ProblemDocument | None:
        """Return why a request is refused whatever its body is, if it is.

        Parameters
        ----------
        request : Request
            The request, of which the head has been received.

        Returns
        -------
        ProblemDocument | None
            The error; None for a request that needs its body.
        """
        path = request.uri.partition(b"?")[0].decode("latin-1")
        if path != CHAT_PATH and not path.startswith(SERVICES_PREFIX):
            return ProblemDocument(problems.NOT_FOUND, path)
        try:
            self.authorise(request)
        except RefusedError as error:
            return error.document
        return None

    def _health(self, request: Request, path: str) -> None:
        if path == "/readyz" and not self._router.is_ready:
            raise RefusedError(problems.NOT_READY, retry_after=1.0)
        write_json(request, 200, {"status": "ok"})

    def _chat(self, request: Request) -> None:
        if request.method != b"POST":
            raise RefusedError(problems.METHOD_NOT_ALLOWED, "use POST")
        organisation = self.authorise(request)
        view = _require_view(self._router)
        body = request_body(request)
        chat = _read_chat(body, request)
        service = view.service_of_model(chat.model)
        if service is None:
            raise RefusedError(problems.NOT_FOUND, f"no model {chat.model!r}")
        call = self._call(request, organisation, service, view, CHAT_PATH, body)
        call.chat = f"{organisation.name}/{chat.chat}" if chat.chat else ""
        call.prompt_tokens = max(1, estimate_tokens(len(body)))
        call.output_tokens = chat.output_tokens
        call.is_streamed = chat.is_streamed
        self._route(request, call, service, view)

    def _service(self, request: Request, path: str) -> None:
        organisation = self.authorise(request)
        view = _require_view(self._router)
        name, _, rest = path[len(SERVICES_PREFIX) :].partition("/")
        service = view.services.get(name)
        if service is None or service.kind != "plain":
            raise RefusedError(problems.NOT_FOUND, f"no plain service {name!r}")
        query = request.uri.decode("latin-1").partition("?")[2]
        target_path = f"/{rest}" + (f"?{query}" if query else "")
        call = self._call(
            request,
            organisation,
            service,
            view,
            target_path,
            request_body(request),
        )
        self._route(request, call, service, view)

    def _call(
        self,
        request: Request,
        organisation: OrganisationRecord,
        service: ServiceRecord,
        view: VersionView,
        path: str,
        body: bytes,
    ) -> CallRequest:
        if organisation.services and service.name not in organisation.services:
            raise RefusedError(problems.FORBIDDEN, f"service {service.name}")
        method = request.method.decode("latin-1")
        key = _header(request, IDEMPOTENCY_KEY_HEADER)
        is_idempotent = service.is_idempotent(method, path.partition("?")[0])
        if not is_idempotent and not key and service.key_required:
            raise RefusedError(problems.KEY_REQUIRED, f"{method} {path}")
        ledger = ""
        if not is_idempotent and key:
            ledger = self._router.ledger_endpoint(service.name, organisation.name, key)
        return CallRequest(
            service=service.name,
            organisation=organisation.name,
            chat="",
            method=method,
            path=path,
            headers=_forwarded_headers(request),
            body=body,
            deadline=self._router.now() + _timeout(request, service),
            prompt_tokens=0,
            output_tokens=0,
            priority=organisation.priority,
            weight=organisation.weight,
            key=key,
            is_idempotent=is_idempotent,
            version=view.version,
            traceparent=_header(request, TRACE_HEADER),
            ledger=ledger,
            is_streamed=False,
        )

    def _route(
        self,
        request: Request,
        call: CallRequest,
        service: ServiceRecord,
        view: VersionView,
    ) -> None:
        if self._router.is_full:
            raise RefusedError(problems.OVERLOADED, "router is full", 1.0)
        organisation = view.organisation(call.organisation)
        wait = 0.0 if organisation is None else self._router.limit(organisation)
        if wait > 0:
            raise RefusedError(problems.RATE_LIMITED, retry_after=wait)
        sink = HttpSink(
            request,
            is_streamed=call.is_streamed,
            answer_limit=self._answer_limit,
        )
        self._router.route(call, service, view, sink)


def _require_view(router: CallRouter) -> VersionView:
    view = router.view
    if view is None:
        raise RefusedError(problems.NOT_READY, retry_after=1.0)
    return view


def _header(request: Request, name: str) -> str:
    """Return a header's value; refuse one that is too long or not printable."""
    value = request.getHeader(name) or ""
    if len(value) > MAX_VALUE_CHARACTERS or not _is_printable(value):
        raise RefusedError(problems.BAD_REQUEST, f"header {name} is malformed")
    return value


def _is_printable(text: str) -> bool:
    return all(FIRST_PRINTABLE <= character <= LAST_PRINTABLE for character in text)


def _timeout(request: Request, service: ServiceRecord) -> float:
    text = _header(request, TIMEOUT_HEADER)
    if not text:
        return service.deadline
    try:
        seconds = float(text)
    except ValueError as error:
        detail = f"header {TIMEOUT_HEADER} is no number of seconds"
        raise RefusedError(problems.BAD_REQUEST, detail) from error
    if not seconds > 0:
        raise RefusedError(problems.BAD_REQUEST, f"{TIMEOUT_HEADER} is not above 0")
    return min(seconds, service.deadline_cap)


def _forwarded_headers(request: Request) -> list[Header]:
    found: list[Header] = []
    for name in FORWARDED_HEADERS:
        value = request.getHeader(name)
        if value:
            found.append(Header(name, value))
    return found


def _read_chat(body: bytes, request: Request) -> _Chat:
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as error:
        detail = f"the body is not JSON: {error}"
        raise RefusedError(problems.BAD_REQUEST, detail) from error
    if not isinstance(fields, dict):
        raise RefusedError(problems.BAD_REQUEST, "the body is not a JSON object")
    model = fields.get("model")
    if not isinstance(model, str) or not model:
        raise RefusedError(problems.BAD_REQUEST, "'model' is not a name")
    messages = fields.get("messages")
    if not isinstance(messages, list) or not messages:
        raise RefusedError(problems.BAD_REQUEST, "'messages' is not a list of messages")
    if not all(isinstance(item, dict) and "role" in item for item in messages):
        raise RefusedError(problems.BAD_REQUEST, "each message needs a 'role'")
    stream = fields.get("stream", False)
    if not isinstance(stream, bool):
        raise RefusedError(problems.BAD_REQUEST, "'stream' is not true or false")
    chat = _header(request, CHAT_ID_HEADER) or fields.get(CHAT_ID_FIELD, "")
    if (
        not isinstance(chat, str)
        or len(chat) > MAX_VALUE_CHARACTERS
        or not _is_printable(chat)
    ):
        raise RefusedError(problems.BAD_REQUEST, f"'{CHAT_ID_FIELD}' is malformed")
    return _Chat(model, chat, stream, _output_tokens(fields))


def _output_tokens(fields: dict[str, Any]) -> int:
    limit = fields.get("max_completion_tokens", fields.get("max_tokens", 0))
    if isinstance(limit, bool) or not isinstance(limit, int) or limit < 0:
        raise RefusedError(problems.BAD_REQUEST, "'max_tokens' is no whole number")
    return min(limit, 2**31 - 1)
