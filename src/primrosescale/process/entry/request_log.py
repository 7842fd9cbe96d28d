"""Fields of the log lines of forwarded requests that have ended."""

from __future__ import annotations

import math
from itertools import islice
from typing import TYPE_CHECKING
from typing import Any

from primrosescale.process.entry.overload_report import admission_fields
from primrosescale.process.log_text import MAX_LOGGED_CHARACTERS
from primrosescale.process.log_text import escape_for_log
from primrosescale.request.harm.content_fingerprint import fingerprint_text

if TYPE_CHECKING:
    from collections.abc import Collection

    from primrosescale.request.attempt.forwarded_call import ForwardedCall
    from primrosescale.request.attempt.forwarding_interfaces import Refusal
    from primrosescale.request.attempt.target_attempt import AttemptRecord
    from primrosescale.request.capacity.admission_record import AdmissionRecord
    from primrosescale.request.incoming_request import IncomingRequest
    from primrosescale.request.request_resolver import CallerHead
    from primrosescale.version.routing_table import RoutingTable

MAX_LOGGED_PARTS = 16
MAX_LOGGED_CUT_REQUESTS = 16


def call_fields(
    call: ForwardedCall, admission: AdmissionRecord | None, now: float
) -> dict[str, Any]:
    """Return what is logged of a request and its attempts.

    Parameters
    ----------
    call : ForwardedCall
        The request, which has ended.
    admission : AdmissionRecord | None
        How it was admitted; None if overload control was not in force.
    now : float
        Current time in seconds.

    Returns
    -------
    dict[str, Any]
        The fields.
    """
    request = call.request
    first = call.first_byte_at
    return {
        "request": request.request_id,
        "route": request.route.name,
        "service": request.service,
        "organisation": request.organisation,
        "version": request.version,
        "status": call.status,
        "fingerprint": (
            fingerprint_text(request.fingerprint) if call.is_suspect else None
        ),
        "prompt_parts": _part_fields(request) if call.is_suspect else None,
        "prompt_tokens": 0 if request.prompt is None else request.prompt.prompt_tokens,
        "took": round(now - request.received_at, 3),
        "first_byte": None if first is None else round(first - request.received_at, 3),
        "resumes": escape_for_log(request.first_attempt_id) or None,
        "last_event": request.last_event,
        **admission_fields(admission),
        "attempts": [
            _attempt_fields(attempt, request.received_at, now)
            for attempt in call.attempts
        ],
    }


def refused_fields(
    refusal: Refusal, head: CallerHead, table: RoutingTable | None
) -> dict[str, Any]:
    """Return what is logged of a request that is refused on arrival.

    Parameters
    ----------
    refusal : Refusal
        Why it is refused.
    head : CallerHead
        Its head.
    table : RoutingTable | None
        The version of the configuration in force, if any.

    Returns
    -------
    dict[str, Any]
        The fields.
    """
    return {
        "request": head.request_id,
        "host": head.host[:MAX_LOGGED_CHARACTERS],
        "path": head.path.decode("latin-1")[:MAX_LOGGED_CHARACTERS],
        "has_key": bool(head.key),
        "outcome": f"refused: {refusal.name.lower()}",
        "version": None if table is None else table.version,
    }


def cut_fields(calls: Collection[ForwardedCall], began_at: float) -> dict[str, Any]:
    """Return what is logged of the requests that a planned stop cuts.

    Parameters
    ----------
    calls : Collection[ForwardedCall]
        The requests.
    began_at : float
        When the stop began, in seconds.

    Returns
    -------
    dict[str, Any]
        The fields; the time of each request counts from the begin of the stop, and is
        negative for one that was received before.
    """
    newest = sorted(
        (call.request for call in calls),
        key=lambda request: request.received_at,
        reverse=True,
    )
    return {
        "requests": len(newest),
        "received_after_begin": sum(item.received_at > began_at for item in newest),
        "newest": [
            {
                "request": item.request_id,
                "route": item.route.name,
                "received": round(item.received_at - began_at, 2),
            }
            for item in newest[:MAX_LOGGED_CUT_REQUESTS]
        ],
    }


def _part_fields(request: IncomingRequest) -> list[dict[str, str]]:
    """Return the names and fingerprints of the shared parts of a request's prompt."""
    if request.prompt is None:
        return []
    parts = zip(request.prompt.shared, request.part_fingerprints, strict=True)
    return [
        {
            "name": escape_for_log(part.name),
            "fingerprint": fingerprint_text(fingerprint),
        }
        for part, fingerprint in islice(parts, MAX_LOGGED_PARTS)
    ]


def _attempt_fields(
    attempt: AttemptRecord, received_at: float, now: float
) -> dict[str, Any]:
    return {
        "target": attempt.target,
        "software_version": (
            None
            if attempt.software_version is None
            else escape_for_log(attempt.software_version)
        ),
        "after": round(attempt.began_at - received_at, 3),
        "until": round((attempt.ended_at or now) - received_at, 3),
        "resumed_after": attempt.resumed_after,
        "load": attempt.load,
        "mean": attempt.mean,
        "load_age": _rounded_load_age(attempt.load_age),
        "cached_tokens": attempt.held,
        "is_home": attempt.is_home,
        "passed_cold": attempt.passed_cold,
        "passed_resting": attempt.passed_resting,
        "fetched_from": attempt.fetched_from,
        "said_leaving": attempt.said_leaving,
        "asked_rest": attempt.asked_rest,
        "is_rest_odd": attempt.is_rest_odd,
        "outcome": attempt.outcome,
    }


def _rounded_load_age(seconds: float) -> float | None:
    """Return a load age rounded for the log; None if no load was ever reported."""
    return round(seconds, 2) if math.isfinite(seconds) else None
