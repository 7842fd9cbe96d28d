"""A caller's accepted request and the model prompt in it.

The modules that choose targets and forward requests work with these types; the
transport fills them in.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from primrosescale.request.harm.content_fingerprint import content_fingerprint
from primrosescale.request.harm.part_fingerprint import part_fingerprint

if TYPE_CHECKING:
    from primrosescale.request.stream.stream_origin import StreamOrigin
    from primrosescale.version.routing_table import Route

# Smaller bodies are left to the garbage collector.
RELEASED_BODY_BYTES = 16 * 1024


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may have in common.

    Parameters
    ----------
    name : str
        Identifies the content of the part.
    tokens : int
        Its length in tokens.
    """

    name: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """The prompt of a request to a model engine.

    Parameters
    ----------
    parts : tuple[PromptPart, ...]
        Parts in order; the last belongs to this request or chat alone.
    prompt_tokens : int
        Tokens of the whole prompt.
    output_tokens : int
        Maximum number of tokens of the answer.
    model : str
        Name of the model.
    """

    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int
    model: str

    @property
    def shared(self) -> tuple[PromptPart, ...]:
        """Return the parts that other requests may have in common with it."""
        return self.parts[:-1]


@dataclass(slots=True, kw_only=True)
class IncomingRequest:
    """A request of a caller, accepted under one version of the configuration.

    Parameters
    ----------
    request_id : str
        The caller's id for this attempt.
    method : bytes
        HTTP method.
    path : bytes
        Path and query.
    headers : tuple[tuple[bytes, bytes], ...]
        Headers to forward, without hop-by-hop headers and those that the router
        sets.
    body : bytes
        The complete body.
    route : Route
        The route that it matched.
    service : str
        The service that it is sent to.
    organisation : str
        The organisation that it is made for; empty on open routes.
    priority : int
        Priority; 0 is the most urgent.
    prompt : Prompt | None
        The prompt, for model engines.
    last_event : int | None
        Id of the event after which the caller wants a stream to resume.
    received_at : float
        When its head was read, in seconds.
    deadline : float
        When the caller stops waiting, in seconds.
    version : int
        Version of the configuration that it was accepted under.
    traceparent : str
        Trace context of the caller; empty for none.
    allowed_regions : frozenset[str] | None
        Regions whose targets may receive it; None for all.
    first_attempt_id : str
        Id of the caller's attempt that began the stream that this one resumes; empty
        when not given.
    stream_origin : StreamOrigin | None
        What began the stream, of which the caller has an event; None before that.
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
    first_attempt_id: str = ""
    stream_origin: StreamOrigin | None = None
    _fingerprint: int | None = None

    @property
    def fingerprint(self) -> int:
        """Return a digest of the content, equal for retries under other ids."""
        if self._fingerprint is not None:
            return self._fingerprint
        return content_fingerprint(self.organisation, self.path, self.body)

    def release_body(self) -> None:
        """Drop the body of a request that has ended, if it is large.

        Reference cycles keep an ended request until the next garbage collection.
        """
        if len(self.body) >= RELEASED_BODY_BYTES:
            self._fingerprint = self.fingerprint
            self.body = b""

    @property
    def part_fingerprints(self) -> tuple[int, ...]:
        """Return the fingerprints of the prompt's shared parts, in their order."""
        if self.prompt is None:
            return ()
        return tuple(
            part_fingerprint(self.organisation, self.prompt.model, part.name)
            for part in self.prompt.shared
        )

    @property
    def resumes_stream(self) -> bool:
        """Return whether the caller already has events of the stream."""
        if not self.route.is_stream:
            return False
        return self.last_event is not None or bool(self.first_attempt_id)

    @property
    def give_up_at(self) -> float:
        """Return the time by which the router answers at the latest, in seconds."""
        return min(self.deadline, self.received_at + self.route.timeout)
