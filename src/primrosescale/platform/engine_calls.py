"""Reads from model engines which prompt parts their caches hold."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import inlineCallbacks

from primrosescale.process.entry.codec import CacheReader
from primrosescale.process.entry.codec import EngineCacheContents
from primrosescale.process.exceptions import TargetError
from primrosescale.process.transport.http_client import HttpClient
from primrosescale.request.incoming_request import PromptPart

if TYPE_CHECKING:
    from collections.abc import Generator

    from primrosescale.request.target.serving_target import ServingTarget

CACHE_LIST_PATH = "/api/kv-list"
OK = 200
# Exceptions that decoding a malformed answer may raise.
MALFORMED = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    IndexError,
    OverflowError,
    RecursionError,
)
# An engine answers only between its processing steps, and several steps of a few ms
# each may run before it does.
TIMEOUT_SECONDS = 0.6


class EngineCacheReader(CacheReader):
    """Reads the cache contents of model engines; see `CacheReader`.

    Parameters
    ----------
    reactor : Any
        Twisted's reactor.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor

    @inlineCallbacks
    def read(self, target: ServingTarget) -> Generator[Any, Any, EngineCacheContents]:
        """Read the cache contents of one engine; see `CacheReader.read`."""
        client = HttpClient(self._reactor, target.endpoint, TIMEOUT_SECONDS)
        try:
            reply = yield client.call("GET", CACHE_LIST_PATH)
        finally:
            client.close()
        if reply.status != OK:
            raise TargetError(f"status {reply.status}")
        try:
            fields = json.loads(reply.body)
            # Each entry is [empty, part, tokens cached, model].
            parts = tuple(
                PromptPart(str(entry[1]), int(entry[2])) for entry in fields["held"]
            )
            return EngineCacheContents(parts, _engine_start(fields))
        except MALFORMED as error:
            raise TargetError(f"malformed answer: {error}") from error


def _engine_start(fields: dict[str, Any]) -> int | None:
    """Return when the engine started, in milliseconds; None when it is not given.

    Booleans and fractions are refused.
    """
    started_at = fields.get("born")
    if started_at is None:
        return None
    if type(started_at) is not int or started_at < 0:
        raise ValueError(f"start {started_at!r} is not a whole number of milliseconds")
    return started_at
