"""Callers' HTTP: chats, plain services and health."""

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
from primrosescale.request.work_estimate import estimate_tokens

if TYPE_CHECKING:
    from twisted.web.server import Request

    from primrosescale.version.records import OrganisationRecord
    from primrosescale.version.records import ServiceRecord
    from primrosescale.version.view import VersionView

CHAT_PATH = "/v1/chat/completions"
SERVICES_PREFIX = "/services/"
TIMEOUT_HEADER = "X-Request-Timeout"
CHAT_HEADER = "X-Chat-Id"
CHAT_FIELD = "chat_id"
KEY_HEADER = "Idempotency-Key"
BEARER = "Bearer "
ORGANISATION = "primrosescale_organisation"
LONGEST_NAME = 256
FORWARDED = ("accept", "accept-language", "content-type")
PRINTABLE_FROM = " "
PRINTABLE_TO = "~"


class RefusedError(ProcessError):
    """A request is refused before anything was done for it.

    Parameters
    ----------
    problem : problems.Problem
        Kind of the error.
    detail : str
        Its particulars.
    retry_after : float
        Seconds after which asking again is worth it.
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
        """Return what the caller is told."""
        return self._document


class CallGate(ABC):
    """What callers' HTTP needs of the router."""

    @property
    @abstractmethod
    def is_ready(self) -> bool:
        """Tell whether requests are taken."""

    @property
    @abstractmethod
    def view(self) -> VersionView | None:
        """Return the version in force."""

    @abstractmethod
    def now(self) -> float:
        """Return the present time in seconds."""

    @abstractmethod
    def limit(self, organisation: OrganisationRecord) -> float:
        """Count a request against its organisation's limit.

        Parameters
        ----------
        organisation : OrganisationRecord
            Whose request it is.

        Returns
        -------
        float
            0 when it may run, else seconds until asking again is worth it.
        """

    @property
    @abstractmethod
    def is_full(self) -> bool:
        """Tell whether no more requests can be under way."""

    @abstractmethod
    def ledger_of(self, service: str, organisation: str, key: str) -> str:
        """Return the endpoint of the router that writes a key's claim.

        Parameters
        ----------
        service : str
            The service.
        organisation : str
            Whose key it is.
        key : str
            The key.

        Returns
        -------
        str
            ``address:port``.
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
            The version it was accepted under.
        sink : HttpSink
            The caller.
        """


@dataclass(frozen=True, slots=True)
class _Chat:
    """What a router reads in the body of a chat request."""

    model: str
    chat: str
    is_streamed: bool
    output_tokens: int


class CallersResource(Resource):
    """Serves callers.

    Parameters
    ----------
    gate : CallGate
        The router.
    answer_limit : int
        Bytes of an unstreamed answer that are held.
    """

    isLeaf = True

    def __init__(self, gate: CallGate, answer_limit: int) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._gate = gate
        self._answer_limit = answer_limit

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
        """Return whose request this is; what was found is kept on it.

        Parameters
        ----------
        request : Request
            The request, whose body may still be to come.

        Returns
        -------
        OrganisationRecord
            The organisation.

        Raises
        ------
        RefusedError
            When the router is not ready or the key is unknown.
        """
        view = self._gate.view
        if view is None or not self._gate.is_ready:
            raise RefusedError(problems.NOT_READY, retry_after=1.0)
        known: OrganisationRecord | None = getattr(request, ORGANISATION, None)
        if known is not None:
            return known
        sent = request.getHeader("Authorization") or ""
        if not sent.startswith(BEARER):
            raise RefusedError(problems.UNAUTHORISED)
        organisation = view.organisation_of(sent[len(BEARER) :].strip())
        if organisation is None:
            raise RefusedError(problems.UNAUTHORISED)
        setattr(request, ORGANISATION, organisation)
        return organisation

    def _health(self, request: Request, path: str) -> None:
        if path == "/readyz" and not self._gate.is_ready:
            raise RefusedError(problems.NOT_READY, retry_after=1.0)
        write_json(request, 200, {"status": "ok"})

    def _chat(self, request: Request) -> None:
        if request.method != b"POST":
            raise RefusedError(problems.METHOD_NOT_ALLOWED, "use POST")
        organisation = self.authorise(request)
        view = _view_of(self._gate)
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
        view = _view_of(self._gate)
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
        key = _header(request, KEY_HEADER)
        is_idempotent = service.is_idempotent(method, path.partition("?")[0])
        if not is_idempotent and not key and service.key_required:
            raise RefusedError(problems.KEY_REQUIRED, f"{method} {path}")
        ledger = ""
        if not is_idempotent and key:
            ledger = self._gate.ledger_of(service.name, organisation.name, key)
        return CallRequest(
            service=service.name,
            organisation=organisation.name,
            chat="",
            method=method,
            path=path,
            headers=_forwarded(request),
            body=body,
            deadline=self._gate.now() + _timeout(request, service),
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
        if self._gate.is_full:
            raise RefusedError(problems.OVERLOADED, "router is full", 1.0)
        organisation = view.organisation(call.organisation)
        wait = 0.0 if organisation is None else self._gate.limit(organisation)
        if wait > 0:
            raise RefusedError(problems.RATE_LIMITED, retry_after=wait)
        sink = HttpSink(
            request,
            is_streamed=call.is_streamed,
            answer_limit=self._answer_limit,
        )
        self._gate.route(call, service, view, sink)


def _view_of(gate: CallGate) -> VersionView:
    view = gate.view
    if view is None:
        raise RefusedError(problems.NOT_READY, retry_after=1.0)
    return view


def _header(request: Request, name: str) -> str:
    """Return a header that is short and printable, or nothing."""
    value = request.getHeader(name) or ""
    if len(value) > LONGEST_NAME or not _is_printable(value):
        raise RefusedError(problems.BAD_REQUEST, f"header {name} is malformed")
    return value


def _is_printable(text: str) -> bool:
    return all(PRINTABLE_FROM <= letter <= PRINTABLE_TO for letter in text)


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


def _forwarded(request: Request) -> list[Header]:
    found: list[Header] = []
    for name in FORWARDED:
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
    chat = _header(request, CHAT_HEADER) or fields.get(CHAT_FIELD, "")
    if not isinstance(chat, str) or len(chat) > LONGEST_NAME or not _is_printable(chat):
        raise RefusedError(problems.BAD_REQUEST, f"'{CHAT_FIELD}' is malformed")
    return _Chat(model, chat, stream, _output_tokens(fields))


def _output_tokens(fields: dict[str, Any]) -> int:
    limit = fields.get("max_completion_tokens", fields.get("max_tokens", 0))
    if isinstance(limit, bool) or not isinstance(limit, int) or limit < 0:
        raise RefusedError(problems.BAD_REQUEST, "'max_tokens' is no whole number")
    return min(limit, 2**31 - 1)
