"""Calls to model engines besides callers' requests."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import inlineCallbacks

from primrosescale.process.entry.codec import CacheReader
from primrosescale.process.entry.codec import EngineCacheContents
from primrosescale.process.exceptions import TargetError
from primrosescale.process.transport.http_call import HttpCaller
from primrosescale.request.incoming_request import PromptPart

if TYPE_CHECKING:
    from collections.abc import Generator

    from primrosescale.request.serving_target import ServingTarget

HELD_PARTS = "/api/kv-list"
OK = 200
# What an odd answer raises while it is taken apart.
MALFORMED = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    IndexError,
    OverflowError,
    RecursionError,
)
# The call waits behind the engine's own work, some steps of a few ms.
TIMEOUT = 0.6


class EngineCaches(CacheReader):
    """Asks model engines which parts they hold; see `CacheReader`.

    Parameters
    ----------
    reactor : Any
        Twisted's reactor.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor

    @inlineCallbacks
    def read(self, target: ServingTarget) -> Generator[Any, Any, EngineCacheContents]:
        """Ask one engine; see `CacheReader.read`."""
        caller = HttpCaller(self._reactor, target.endpoint, TIMEOUT)
        try:
            reply = yield caller.call("GET", HELD_PARTS)
        finally:
            caller.close()
        if reply.status != OK:
            raise TargetError(f"status {reply.status}")
        try:
            told = json.loads(reply.body)
            # Each entry is [empty, part, tokens held, model].
            parts = tuple(
                PromptPart(str(entry[1]), int(entry[2])) for entry in told["held"]
            )
            return EngineCacheContents(parts, _start(told))
        except MALFORMED as error:
            raise TargetError(f"odd answer: {error}") from error


def _start(told: dict[str, Any]) -> int | None:
    """Return the engine's start; a truth value or a part of one is none."""
    born = told.get("born")
    if born is None:
        return None
    if type(born) is not int or born < 0:
        raise ValueError(f"start {born!r} is no whole number of milliseconds")
    return born
