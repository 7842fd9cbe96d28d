"""What the entry router needs to have translated at its two HTTP sides."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred
    from twisted.web.http_headers import Headers

    from primrosescale.process.entry.peer_router import PeerRouter
    from primrosescale.process.transport.platform import StoredObject
    from primrosescale.request.forwarding_interfaces import AnswerHead
    from primrosescale.request.forwarding_interfaces import OutgoingRequest
    from primrosescale.request.forwarding_interfaces import Refusal
    from primrosescale.request.incoming_request import PromptPart
    from primrosescale.request.request_resolver import CallerHead
    from primrosescale.request.serving_target import ServingTarget
    from primrosescale.version.routing_table import RoutingTable


class EntryCodec(ABC):
    """Translates heads of requests and answers; it decides nothing."""

    @abstractmethod
    def caller_head(self, method: bytes, path: bytes, headers: Headers) -> CallerHead:
        """Return what the head of a caller's request says.

        Parameters
        ----------
        method : bytes
            HTTP method.
        path : bytes
            Path and query.
        headers : Headers
            All headers.

        Returns
        -------
        CallerHead
            The head.
        """

    @abstractmethod
    def target_headers(self, sending: OutgoingRequest) -> Headers:
        """Return the headers of a request to a target.

        Parameters
        ----------
        sending : OutgoingRequest
            The request.

        Returns
        -------
        Headers
            All headers but those of the connection.
        """

    @abstractmethod
    def answer_head(
        self,
        status: int,
        headers: Headers,
        length: int | None,
    ) -> AnswerHead:
        """Return what the head of a target's answer says.

        Parameters
        ----------
        status : int
            HTTP status.
        headers : Headers
            Headers of the answer.
        length : int | None
            Bytes of the body, when known.

        Returns
        -------
        AnswerHead
            The head.
        """

    @abstractmethod
    def refusal_headers(
        self,
        refusal: Refusal,
        request_id: str,
        retry_after: float | None,
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of an answer of the router's own.

        Parameters
        ----------
        refusal : Refusal
            Why the request is refused.
        request_id : str
            The request.
        retry_after : float | None
            Seconds after which asking again is worth it.

        Returns
        -------
        list[tuple[bytes, bytes]]
            Names and values.
        """


class RecordDecoder(ABC):
    """Translates records of the store; it decides nothing."""

    @abstractmethod
    def table(self, stored: StoredObject) -> RoutingTable:
        """Return the routing table of a record.

        Parameters
        ----------
        stored : StoredObject
            The record.

        Returns
        -------
        RoutingTable
            The table; fails with an `UnreadableRecordError`.
        """

    @abstractmethod
    def target(self, stored: StoredObject) -> ServingTarget:
        """Return the target of a record.

        Parameters
        ----------
        stored : StoredObject
            The record.

        Returns
        -------
        ServingTarget
            The target; fails with an `UnreadableRecordError`.
        """

    @abstractmethod
    def router(self, stored: StoredObject) -> PeerRouter:
        """Return the entry router of a record.

        Parameters
        ----------
        stored : StoredObject
            The record.

        Returns
        -------
        PeerRouter
            The router; fails with an `UnreadableRecordError`.
        """


@dataclass(frozen=True, slots=True)
class EngineCacheContents:
    """What a model engine says that it holds.

    Parameters
    ----------
    parts : tuple[PromptPart, ...]
        The parts.
    started_at : int | None
        Its start in its own Unix milliseconds; None when not told.
    """

    parts: tuple[PromptPart, ...]
    started_at: int | None = None


class CacheReader(ABC):
    """Asks model engines which parts of prompts they hold."""

    @abstractmethod
    def read(self, target: ServingTarget) -> Deferred[EngineCacheContents]:
        """Ask one engine.

        Parameters
        ----------
        target : ServingTarget
            The engine.

        Returns
        -------
        Deferred[EngineCacheContents]
            The parts, and whose they are; fails with a `PrimrosescaleError`.
        """
