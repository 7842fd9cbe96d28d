"""Decides which version began a stream, from what this router and its peers know.

The router that passed the first event recorded it at several peers, of which some may
be restarted, killed or cut off by now. A router therefore asks several of them and goes
on with the first that knows. Where none does, or where the caller does not name the
attempt that began the stream, the version is inferred only if there was no other for as
long as the stream may have lasted.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from primrosescale.request.stream.stream_origin import StreamOrigin

if TYPE_CHECKING:
    from collections.abc import Collection

    from primrosescale.request.stream.software_versions import VersionView

# A caller that takes a stream up waits for nothing else; peers answer within
# milliseconds unless they are busy, dead or cut off.
ANSWER_TIMEOUT_SECONDS = 0.3


class OriginSource(Enum):
    """From where the origin of a stream is known."""

    OWN_RECORD = "own record"
    PEER_RECORD = "record of a peer"
    ONLY_VERSION = "only version"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class FoundOrigin:
    """The result of a search.

    Parameters
    ----------
    origin : StreamOrigin | None
        What began the stream; None if it is not known.
    source : OriginSource
        From where it is known.
    """

    origin: StreamOrigin | None
    source: OriginSource


UNKNOWN_ORIGIN = FoundOrigin(None, OriginSource.UNKNOWN)


class OriginSearch:
    """Collects the answers of peers about one stream.

    Parameters
    ----------
    service : str
        The service that the caller's request would be sent to.
    asked : Collection[str]
        Names of the peers that are asked.
    own_view : VersionView
        The versions of the service as known here.
    began_at : float
        Time of the first question, in seconds.
    is_named : bool
        Whether the caller named its first attempt, so that a peer may have a record.
    relies_on_peers : bool
        Whether the own view counts only together with an answer of a peer.
    """

    __slots__ = (
        "_began_at",
        "_found",
        "_is_ambiguous",
        "_is_named",
        "_relies_on_peers",
        "_service",
        "_unanswered",
        "_views",
        "answers",
    )

    def __init__(
        self,
        service: str,
        asked: Collection[str],
        own_view: VersionView,
        began_at: float,
        *,
        is_named: bool,
        relies_on_peers: bool,
    ) -> None:
        self._service = service
        self._unanswered = set(asked)
        self._is_named = is_named
        self._relies_on_peers = relies_on_peers
        self._views = [own_view]
        self._began_at = began_at
        self._found: StreamOrigin | None = None
        self._is_ambiguous = False
        self.answers = 0

    @property
    def unanswered(self) -> set[str]:
        """Return the names of the peers that have not answered yet."""
        return self._unanswered

    def answered(
        self, peer: str, origin: StreamOrigin | None, view: VersionView
    ) -> None:
        """Add the answer of a peer.

        Parameters
        ----------
        peer : str
            Its name; one that was not asked, or has answered, is ignored.
        origin : StreamOrigin | None
            The origin that it knows, if any.
        view : VersionView
            The versions of the service as known there.
        """
        if peer not in self._unanswered:
            return
        self._unanswered.discard(peer)
        self.answers += 1
        self._views.append(view)
        if origin is None:
            return
        if origin.software_version is None or self._found not in {None, origin}:
            self._is_ambiguous = True
        self._found = origin

    def result(self, now: float) -> FoundOrigin | None:
        """Return the result, once it is known.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        FoundOrigin | None
            The result; None while answers are awaited.
        """
        if self._is_ambiguous:
            return UNKNOWN_ORIGIN
        if self._found is not None:
            return FoundOrigin(self._found, OriginSource.PEER_RECORD)
        if not self._unanswered or now - self._began_at >= ANSWER_TIMEOUT_SECONDS:
            return self._inferred()
        if self.answers and not self._is_named:
            inferred = self._inferred()
            return None if inferred.origin is None else inferred
        return None

    def _inferred(self) -> FoundOrigin:
        """Return the only version, if all that is known agrees on it.

        A router whose list is not quite new and that hears from no peer may be cut off,
        and may have missed a version at which another one began the stream.
        """
        if self._relies_on_peers and not self.answers:
            return UNKNOWN_ORIGIN
        if any(view.has_several for view in self._views):
            return UNKNOWN_ORIGIN
        only = {view.only for view in self._views if view.only is not None}
        if len(only) != 1:
            return UNKNOWN_ORIGIN
        return FoundOrigin(
            StreamOrigin(self._service, only.pop()), OriginSource.ONLY_VERSION
        )
