"""Translates the headers of the platform's callers and targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.web.http_headers import Headers

from primrosescale.platform.host_settings import SECONDS_PER_MILLISECOND
from primrosescale.process.entry.codec import EntryCodec
from primrosescale.request.attempt.forwarding_interfaces import AnswerHead
from primrosescale.request.incoming_request import Prompt
from primrosescale.request.incoming_request import PromptPart
from primrosescale.request.request_resolver import CallerHead
from primrosescale.request.target.retry_after import is_irregular_retry_after
from primrosescale.request.target.retry_after import requested_pause
from primrosescale.request.target.target_state import LoadReport

if TYPE_CHECKING:
    from primrosescale.request.attempt.forwarding_interfaces import OutgoingRequest
    from primrosescale.request.attempt.forwarding_interfaces import Refusal

REQUEST_ID = b"Primrosescale-Request-Id"
# Milliseconds for which the sender of the request will wait.
TIME_LEFT = b"Primrosescale-Request-Deadline"
PROMPT_PARTS = b"Primrosescale-Prompt-Prefix"
# Number of tokens of the prompt, and maximum number of tokens of the answer.
TOKENS = b"Primrosescale-Token-Usage"
MODEL = b"Primrosescale-Model"
RECEIPT = b"Primrosescale-Response-Signature"
ORGANISATION = b"Primrosescale-Tenant"
EXPECTED_INCARNATION = b"Primrosescale-Expect-Instance"
LOAD = b"Primrosescale-Engine-Load"
NOT_RUN = b"Primrosescale-Not-Executed"
# Milliseconds for which the target stays cold.
COLD_REMAINING = b"Primrosescale-Cold-Remaining"
LEAVING = b"Server-Leaving"
PRIORITY = b"Primrosescale-Request-Priority"
# Endpoint of another target, from which the prompt's cache may be copied.
FETCH_FROM = b"Kv-Fetch"
# Number of the last event received of a stream that is resumed.
LAST_EVENT = b"Last-Event-Id"
# Request id of the caller's attempt that began the stream that is resumed.
RESUMES = b"Resumes"
AUTHORIZATION = b"Authorization"
BEARER_PREFIX = "bearer "
RETRY_AFTER = b"Retry-After"
# Not a header of the platform but of W3C Trace Context: each hop replaces it.
TRACE_CONTEXT = b"traceparent"

MISDIRECTED_REQUEST = 421
PERCENT = 100.0

# Hop-by-hop headers, and others that apply to one connection only. The headers that
# a Connection header names are dropped as well.
CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    },
)
# Headers of requests to targets that only the router may set.
ROUTER_ONLY_HEADERS = frozenset(
    name.lower()
    for name in (
        TIME_LEFT,
        ORGANISATION,
        EXPECTED_INCARNATION,
        PRIORITY,
        FETCH_FROM,
        LAST_EVENT,
        AUTHORIZATION,
        b"Primrosescale-Expect-Version",
        b"Primrosescale-Hold",
        b"Primrosescale-Pin-Duration",
        b"Primrosescale-Kv-Backup",
        b"Kv-From",
        NOT_RUN,
    )
)


class PlatformCodec(EntryCodec):
    """Translates the platform's headers; see `EntryCodec`."""

    def caller_head(self, method: bytes, path: bytes, headers: Headers) -> CallerHead:
        """Decode the head of a caller's request; see `EntryCodec.caller_head`."""
        time_left = _non_negative_number(_first(headers, TIME_LEFT))
        last = _first(headers, LAST_EVENT)
        return CallerHead(
            method=method,
            path=path,
            host=_first(headers, b"Host"),
            request_id=_first(headers, REQUEST_ID),
            key=_bearer_key(_first(headers, AUTHORIZATION)),
            time_left=None
            if time_left is None
            else time_left * SECONDS_PER_MILLISECOND,
            prompt=_prompt(headers),
            last_event=int(last) if last.isdigit() else None,
            headers=_forwarded_headers(headers),
            traceparent=_first(headers, TRACE_CONTEXT),
            first_attempt_id=_first(headers, RESUMES),
        )

    def target_headers(self, sending: OutgoingRequest) -> Headers:
        """Build headers of a request to a target; see `EntryCodec.target_headers`."""
        request = sending.request
        headers = Headers()
        for name, value in request.headers:
            headers.addRawHeader(name, value)
        left = max(1, int(sending.time_left / SECONDS_PER_MILLISECOND))
        headers.setRawHeaders(TIME_LEFT, [b"%d" % left])
        headers.setRawHeaders(EXPECTED_INCARNATION, [sending.target.name.encode()])
        if request.organisation:
            headers.setRawHeaders(ORGANISATION, [request.organisation.encode()])
        if request.prompt is not None:
            headers.setRawHeaders(PRIORITY, [b"%d" % request.priority])
        if sending.resume_after is not None:
            headers.setRawHeaders(LAST_EVENT, [b"%d" % sending.resume_after])
        if sending.traceparent:
            headers.setRawHeaders(TRACE_CONTEXT, [sending.traceparent.encode()])
        if sending.fetch_from is not None:
            source = str(sending.fetch_from.endpoint)
            headers.setRawHeaders(FETCH_FROM, [source.encode()])
        return headers

    def answer_head(
        self,
        status: int,
        headers: Headers,
        length: int | None,
    ) -> AnswerHead:
        """Decode the head of a target's answer; see `EntryCodec.answer_head`."""
        cold_left = _non_negative_number(_first(headers, COLD_REMAINING))
        retry_after_values = _all(headers, RETRY_AFTER)
        return AnswerHead(
            status=status,
            headers=tuple(
                (name, value)
                for name, values in headers.getAllRawHeaders()
                if name.lower() not in CONNECTION_HEADERS
                for value in values
            ),
            request_id=_first(headers, REQUEST_ID),
            has_receipt=headers.hasHeader(RECEIPT),
            is_not_run=headers.hasHeader(NOT_RUN),
            is_other_incarnation=status == MISDIRECTED_REQUEST,
            load=_load(_first(headers, LOAD)),
            length=length,
            cold_for=None if cold_left is None else cold_left * SECONDS_PER_MILLISECOND,
            is_leaving=b"1" in headers.getRawHeaders(LEAVING, []),
            rest=requested_pause(status, retry_after_values),
            is_rest_odd=is_irregular_retry_after(status, retry_after_values),
        )

    def refusal_headers(
        self,
        refusal: Refusal,
        request_id: str,
        retry_after: float | None,
    ) -> list[tuple[bytes, bytes]]:
        """Build the headers of a refusal; see `EntryCodec.refusal_headers`."""
        headers = [(b"Content-Type", b"application/problem+json")]
        if request_id:
            headers.append((REQUEST_ID, request_id.encode("latin-1")))
        if retry_after is not None:
            headers.append((RETRY_AFTER, f"{retry_after:.2f}".encode()))
        return headers


def _all(headers: Headers, name: bytes) -> list[str]:
    values = headers.getRawHeaders(name, [])
    return [value.decode("latin-1").strip() for value in values]


def _first(headers: Headers, name: bytes) -> str:
    values = headers.getRawHeaders(name)
    return values[0].decode("latin-1").strip() if values else ""


def _non_negative_number(text: str) -> float | None:
    try:
        return max(0.0, float(text)) if text else None
    except ValueError:
        return None


def _bearer_key(text: str) -> str:
    if text.lower().startswith(BEARER_PREFIX):
        return text[len(BEARER_PREFIX) :].strip()
    return ""


def _forwarded_headers(headers: Headers) -> tuple[tuple[bytes, bytes], ...]:
    """Return the caller's headers without those that targets must not get."""
    dropped = set(CONNECTION_HEADERS | ROUTER_ONLY_HEADERS)
    for value in headers.getRawHeaders(b"Connection") or []:
        dropped.update(token.strip().lower() for token in value.split(b","))
    # A caller's Connection header must not remove headers on which targets rely.
    dropped -= {REQUEST_ID.lower(), PROMPT_PARTS.lower(), TOKENS.lower(), MODEL.lower()}
    return tuple(
        (name, value)
        for name, values in headers.getAllRawHeaders()
        if name.lower() not in dropped
        for value in values
    )


def _prompt(headers: Headers) -> Prompt | None:
    """Return the prompt that the headers describe; None when they are invalid."""
    text = _first(headers, PROMPT_PARTS)
    usage = _first(headers, TOKENS)
    if not text or not usage:
        return None
    try:
        parts = []
        for item in text.split(","):
            name, _, tokens = item.strip().partition(":")
            parts.append(PromptPart(name, int(tokens)))
        prompt_tokens, _, max_tokens = usage.partition(",")
        return Prompt(
            tuple(parts), int(prompt_tokens), int(max_tokens), _first(headers, MODEL)
        )
    except ValueError:
        # The target validates the prompt; without it, the router only lacks a hint
        # for its choice of a target.
        return None


def _load(text: str) -> LoadReport | None:
    """Decode requests running and waiting, slots and, if given, the host's pace."""
    parts = text.split(",")
    if len(parts) not in {3, 4} or not all(part.strip().isdigit() for part in parts):
        return None
    running, waiting, slots, *rest = (int(part) for part in parts)
    percent = rest[0] if rest else 0
    return LoadReport(running, waiting, slots, percent / PERCENT if percent else None)
