"""HTTP resource of the administration API: authentication, dispatch, answers."""

from __future__ import annotations

import hashlib
import hmac
import json
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import inlineCallbacks
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from primrosescale.exceptions import PrimrosescaleError
from primrosescale.ini.exceptions import FaultsError
from primrosescale.ini.exceptions import IniError
from primrosescale.process.administration.administration import READER
from primrosescale.process.administration.administration import require_role
from primrosescale.process.events import Event
from primrosescale.process.exceptions import PlatformError
from primrosescale.process.exceptions import ProcessError
from primrosescale.process.transport import problems
from primrosescale.process.transport.http_bodies import request_body
from primrosescale.process.transport.http_sink import write_json
from primrosescale.process.transport.problems import ProblemDocument
from primrosescale.version.bundle import Bundle
from primrosescale.version.exceptions import ConflictError
from primrosescale.version.exceptions import HeadError
from primrosescale.version.exceptions import NotAllowedError
from primrosescale.version.exceptions import NotFoundError
from primrosescale.version.records import ANY_TEAM
from primrosescale.version.records import OPERATOR_ROLES
from primrosescale.version.records import OperatorRecord

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Generator

    from twisted.internet.defer import Deferred
    from twisted.python.failure import Failure
    from twisted.web.server import Request

    from primrosescale.process.administration.administration import Administration
    from primrosescale.process.administration.administration import BundleInfo
    from primrosescale.process.events import EventLog
    from primrosescale.version.view import VersionView

PREFIX = "/admin/v1/"
BEARER = "Bearer "
OK = 200
CREATED = 201
BAD_REQUEST = 400
UNAUTHORISED = 401
FORBIDDEN = 403
NOT_FOUND = 404
CONFLICT = 409
PRECONDITION = 412
UNAVAILABLE = 503
MAX_LISTED = 20


class UnknownOperatorError(ProcessError):
    """The request's operator key is missing or unknown."""

    def __init__(self) -> None:
        super().__init__(
            "the operator key is missing or unknown",
            "send 'Authorization: Bearer KEY' with an operator's key",
        )


class PreconditionError(ConflictError):
    """The stored head is not the one that If-Match names."""


STATUS_BY_ERROR: tuple[tuple[type[Exception], int], ...] = (
    (FaultsError, BAD_REQUEST),
    (IniError, BAD_REQUEST),
    (UnknownOperatorError, UNAUTHORISED),
    (NotAllowedError, FORBIDDEN),
    (HeadError, FORBIDDEN),
    (NotFoundError, NOT_FOUND),
    (PreconditionError, PRECONDITION),
    (ConflictError, CONFLICT),
    (PlatformError, UNAVAILABLE),
    (PrimrosescaleError, BAD_REQUEST),
)


class OperatorKeys:
    """Authenticates operators by their bearer keys.

    Parameters
    ----------
    bootstrap : tuple[str, ...]
        ``name:hash`` of the operators in the process settings.
    view : Callable[[], VersionView | None]
        Returns the configuration version in force; None before the first.
    """

    def __init__(
        self,
        bootstrap: tuple[str, ...],
        view: Callable[[], VersionView | None],
    ) -> None:
        self._view = view
        self._bootstrap = [
            OperatorRecord(
                name=name,
                key_hash=key_hash,
                roles=OPERATOR_ROLES,
                teams=(ANY_TEAM,),
            )
            for name, _, key_hash in (text.partition(":") for text in bootstrap)
        ]

    def find(self, header: str) -> OperatorRecord:
        """Return the operator whose key a header carries.

        Parameters
        ----------
        header : str
            Value of the Authorization header.

        Returns
        -------
        OperatorRecord
            The operator.

        Raises
        ------
        UnknownOperatorError
            When the header carries no known operator's key.
        """
        if not header.startswith(BEARER):
            raise UnknownOperatorError
        key = header[len(BEARER) :].strip()
        view = self._view()
        found = None if view is None else view.operator_of(key)
        if found is not None:
            return found
        sent = hashlib.sha256(key.encode()).hexdigest()
        for record in self._bootstrap:
            if hmac.compare_digest(record.key_hash, sent):
                return record
        raise UnknownOperatorError


class AdminResource(Resource):
    """Handles requests to the administration API.

    Parameters
    ----------
    administration : Administration
        Operations on bundles and the head.
    keys : OperatorKeys
        Authenticates operators.
    status : Callable[[], Deferred[dict[str, Any]]]
        Returns the versions in force across the fleet.
    log : EventLog
        Event log.
    """

    isLeaf = True

    def __init__(
        self,
        administration: Administration,
        keys: OperatorKeys,
        status: Callable[[], Deferred[dict[str, Any]]],
        log: EventLog,
    ) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._administration = administration
        self._keys = keys
        self._status = status
        self._log = log

    def render(self, request: Request) -> int:
        """Answer one request asynchronously.

        Parameters
        ----------
        request : Request
            The request.

        Returns
        -------
        int
            `NOT_DONE_YET`.
        """
        # Not empty once the client has disconnected; nothing is sent from then on.
        gone: list[bool] = []
        request.notifyFinish().addErrback(lambda _: gone.append(True))
        answered = self._answer(request, gone)
        answered.addErrback(self._answer_error, request, gone)
        answered.addErrback(self._answer_internal_error, request, gone)
        return NOT_DONE_YET

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
        try:
            self._keys.find(request.getHeader("Authorization") or "")
        except UnknownOperatorError as error:
            return ProblemDocument(problems.UNAUTHORISED, error.remedy)
        return None

    @inlineCallbacks
    def _answer(self, request: Request, gone: list[bool]) -> Generator[Any, Any, None]:
        operator = self._keys.find(request.getHeader("Authorization") or "")
        path = request.path.decode("latin-1")
        if not path.startswith(PREFIX):
            raise NotFoundError(path)
        parts = path[len(PREFIX) :].strip("/").split("/")
        call = f"{request.method.decode('latin-1')} {parts[0]}"
        if call == "POST bundles":
            yield self._create(request, operator, gone)
        elif call == "POST head":
            yield self._roll_out(request, operator, gone)
        elif call == "POST revert":
            info = yield self._administration.revert_to(
                str(_json_body(request)["to"]),
                operator,
            )
            self._send_info(request, CREATED, info, gone)
        elif call == "PUT bundles" and parts[-1] == "sign-off":
            yield self._sign(request, operator, parts[1], gone)
        elif request.method == b"GET":
            require_role(operator, READER)
            yield self._read(request, parts, gone)
        else:
            raise NotFoundError(call)

    @inlineCallbacks
    def _read(
        self,
        request: Request,
        parts: list[str],
        gone: list[bool],
    ) -> Generator[Any, Any, None]:
        admin = self._administration
        if parts[0] == "status":
            fields = yield self._status()
            _send(request, OK, fields, gone)
        elif parts[0] == "audit":
            entries = yield admin.audit(MAX_LISTED)
            _send(request, OK, {"entries": entries}, gone)
        elif parts[0] == "bundles" and len(parts) == 1:
            known = yield admin.history(MAX_LISTED)
            _send(
                request,
                OK,
                {"bundles": [_info_fields(item) for item in known]},
                gone,
            )
        elif parts[0] == "bundles" and parts[-1] == "diff":
            digest = yield admin.find(parts[1])
            other = _query_argument(request, "with")
            root = yield admin.root(digest)
            old = root.base
            if other:
                old = yield admin.find(other)
            text = yield admin.diff(old, digest)
            _send(request, OK, {"diff": text}, gone)
        elif parts[0] == "bundles":
            digest = yield admin.find(parts[1])
            root = yield admin.root(digest)
            bundle = yield admin.load(digest)
            fields = {"digest": digest, "version": root.version, "ini": bundle.to_ini()}
            _send(request, OK, fields, gone)
        else:
            raise NotFoundError("/".join(parts))

    @inlineCallbacks
    def _create(
        self,
        request: Request,
        operator: OperatorRecord,
        gone: list[bool],
    ) -> Generator[Any, Any, None]:
        text = request_body(request).decode("utf-8", "replace")
        bundle = Bundle.from_ini(text, "bundle")
        expected = _if_match(request)
        try:
            info = yield self._administration.create(bundle, operator, expected)
        except ConflictError as error:
            raise PreconditionError(error.problem) from error
        self._log.emit(Event.BUNDLE_CREATED, by=operator.name, digest=info.digest)
        self._send_info(request, CREATED, info, gone)

    @inlineCallbacks
    def _sign(
        self,
        request: Request,
        operator: OperatorRecord,
        digest: str,
        gone: list[bool],
    ) -> Generator[Any, Any, None]:
        try:
            signature = bytes.fromhex(str(_json_body(request)["signature"]))
        except (KeyError, ValueError) as error:
            raise IniError("no signature in hex", "send {'signature': HEX}") from error
        info = yield self._administration.sign(digest, operator, signature)
        self._log.emit(Event.BUNDLE_SIGNED, by=operator.name, digest=digest)
        self._send_info(request, OK, info, gone)

    @inlineCallbacks
    def _roll_out(
        self,
        request: Request,
        operator: OperatorRecord,
        gone: list[bool],
    ) -> Generator[Any, Any, None]:
        digest = str(_json_body(request).get("digest", ""))
        info = yield self._administration.roll_out(digest, operator)
        self._log.emit(Event.BUNDLE_ROLLED_OUT, by=operator.name, digest=digest)
        self._send_info(request, OK, info, gone)

    def _send_info(
        self,
        request: Request,
        status: int,
        info: BundleInfo,
        gone: list[bool],
    ) -> None:
        request.setHeader(b"ETag", f'"{info.digest}"'.encode())
        _send(request, status, _info_fields(info), gone)

    def _answer_error(
        self, failure: Failure, request: Request, gone: list[bool]
    ) -> None:
        error = failure.value
        failure.trap(PrimrosescaleError, FaultsError)
        self._log.emit(
            Event.ADMIN_REFUSED, path=request.path.decode(), detail=str(error)
        )
        status = next(
            status for kind, status in STATUS_BY_ERROR if isinstance(error, kind)
        )
        _send(request, status, _problem_fields(error, status), gone)

    def _answer_internal_error(
        self, failure: Failure, request: Request, gone: list[bool]
    ) -> None:
        """Answer an unexpected exception with status 500 and log its traceback."""
        self._log.emit(Event.ADMIN_REFUSED, detail=failure.getTraceback())
        fields = {"title": "internal error", "remedy": "look at event 413 in the log"}
        _send(request, 500, fields, gone)


def _problem_fields(error: BaseException | None, status: int) -> dict[str, Any]:
    if isinstance(error, FaultsError):
        faults = [
            {"problem": e.problem, "remedy": e.remedy}
            for e in error.exceptions
            if isinstance(e, IniError)
        ]
        return {"status": status, "title": str(error.message), "faults": faults}
    if isinstance(error, PrimrosescaleError):
        return {"status": status, "title": error.problem, "remedy": error.remedy}
    return {"status": status, "title": str(error)}


def _info_fields(info: BundleInfo) -> dict[str, Any]:
    return {
        "digest": info.digest,
        "version": info.root.version,
        "base": info.root.base,
        "author": info.root.author,
        "created_ms": info.root.created_ms,
        "approver": info.approver,
    }


def _send(request: Request, status: int, fields: Any, gone: list[bool]) -> None:
    if not gone:
        write_json(request, status, fields)


def _json_body(request: Request) -> dict[str, Any]:
    try:
        fields = json.loads(request_body(request))
    except ValueError as error:
        raise IniError("the body is not JSON", "send a JSON object") from error
    if not isinstance(fields, dict):
        raise IniError("the body is no JSON object", "send a JSON object")
    return fields


def _if_match(request: Request) -> str | None:
    tag = request.getHeader("If-Match")
    return None if tag is None else tag.strip('"')


def _query_argument(request: Request, name: str) -> str:
    values: list[bytes] = request.args.get(name.encode(), [])
    return values[0].decode() if values else ""
