"""A caller's request as the deciding modules see it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from primrosescale.request.content_fingerprint import content_fingerprint

if TYPE_CHECKING:
    from primrosescale.version.routing_table import Route


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share.

    Parameters
    ----------
    name : str
        Names the part's content.
    tokens : int
        Its length.
    """

    name: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """What a request asks of a model engine.

    Parameters
    ----------
    parts : tuple[PromptPart, ...]
        Parts in order; the last belongs to this request or chat alone.
    prompt_tokens : int
        Tokens of the whole prompt.
    output_tokens : int
        Tokens the answer may have at the most.
    model : str
        Name of the model.
    """

    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int
    model: str

    @property
    def shared(self) -> tuple[PromptPart, ...]:
        """Return the parts that other requests may share."""
        return self.parts[:-1]


@dataclass(slots=True, kw_only=True)
class IncomingRequest:
    """One attempt of a caller, accepted under one version.

    Parameters
    ----------
    request_id : str
        The caller's name for this attempt.
    method : bytes
        HTTP method.
    path : bytes
        Path and query.
    headers : tuple[tuple[bytes, bytes], ...]
        Headers to hand on, without those of one connection and those that
        the router sets.
    body : bytes
        Whole body.
    route : Route
        The route it came on.
    service : str
        The service it goes to.
    organisation : str
        Whom it is made for; empty on open routes.
    priority : int
        Rank; 0 is the most urgent.
    prompt : Prompt | None
        The prompt, for model engines.
    last_event : int | None
        Event after which the caller wants a stream to go on.
    received_at : float
        When its head was read, in seconds.
    deadline : float
        When the caller stops waiting, in seconds.
    version : int
        Version of the configuration it was accepted under.
    traceparent : str
        Trace context of the caller; empty for none.
    allowed_regions : frozenset[str] | None
        Regions whose targets may get it; None for all.
    """

    request_id: str
    method: bytes
    path: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    route: Route
    service: str
    organisation: str
    priority: int
    prompt: Prompt | None
    last_event: int | None
    received_at: float
    deadline: float
    version: int
    traceparent: str = ""
    allowed_regions: frozenset[str] | None = None

    @property
    def fingerprint(self) -> int:
        """Return the digest that all requests for the same have, whatever their id."""
        return content_fingerprint(self.organisation, self.path, self.body)

    @property
    def give_up_at(self) -> float:
        """Return when the router answers at the latest, in seconds."""
        return min(self.deadline, self.received_at + self.route.timeout)
