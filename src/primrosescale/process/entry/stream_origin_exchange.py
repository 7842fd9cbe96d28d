"""Exchanges with other routers which software version began a stream.

A router that sends the first event of a stream reports its origin to a few others,
before the caller can have received that event. One that is asked to resume a stream
asks those that should have a copy.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from primrosescale.connection.wire import ttypes as wire
from primrosescale.process.entry.load_codec import MILLISECONDS_PER_SECOND
from primrosescale.request.stream.archived_origins import ArchivedOrigin
from primrosescale.request.stream.origin_holders import ASKED
from primrosescale.request.stream.origin_holders import COPIES
from primrosescale.request.stream.origin_holders import OriginHolders
from primrosescale.request.stream.origin_search import OriginSearch
from primrosescale.request.stream.software_versions import VersionHistory
from primrosescale.request.stream.software_versions import VersionView
from primrosescale.request.stream.stream_origin import MAX_RETENTION_SECONDS
from primrosescale.request.stream.stream_origin import RETENTION_SECONDS
from primrosescale.request.stream.stream_origin import StreamOrigin
from primrosescale.request.stream.stream_origin import StreamOriginRecords
from primrosescale.request.stream.stream_origin import stream_key

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence

    from primrosescale.connection.codec import Message
    from primrosescale.process.entry.peer_router import PeerRouter
    from primrosescale.process.entry.target_list import TargetList
    from primrosescale.request.freshness import Freshness
    from primrosescale.request.incoming_request import IncomingRequest

Messages = list[tuple["PeerRouter", "Message"]]
# Of a question that asks only whether the receiver knows it.
NO_KEY = b""
# Age up to which the list of targets is relied on without an answer of a peer, for a
# caller that names no attempt.
CURRENT_LIST_AGE_SECONDS = 2.0


class _OpenSearch(NamedTuple):
    search: OriginSearch
    on_answer: Callable[[], None]


class StreamOriginExchange:
    """Origins of streams that are known here, and messages about them.

    Parameters
    ----------
    name : str
        This router.
    others : Callable[[], Sequence[PeerRouter]]
        Returns the other routers that are listed.
    find : Callable[[str], PeerRouter | None]
        Returns one of them by name.
    targets : TargetList
        Targets and their states.
    freshness : Freshness
        Age of what is known of the store.
    is_first_start : bool
        Whether no router of the deployment ran before.
    """

    __slots__ = (
        "_changes",
        "_find",
        "_freshness",
        "_history",
        "_holders",
        "_longest_window",
        "_name",
        "_others",
        "_own",
        "_records",
        "_searches",
        "_targets",
    )

    def __init__(
        self,
        name: str,
        others: Callable[[], Sequence[PeerRouter]],
        find: Callable[[str], PeerRouter | None],
        targets: TargetList,
        freshness: Freshness,
        *,
        is_first_start: bool = False,
    ) -> None:
        self._name = name
        self._others = others
        self._find = find
        self._targets = targets
        self._freshness = freshness
        self._records = StreamOriginRecords()
        # Those of them that this router began, also in its former process.
        self._own = StreamOriginRecords()
        self._changes = 0
        self._longest_window = 0.0
        self._history = VersionHistory(is_first_start=is_first_start)
        self._holders = OriginHolders()
        self._searches: dict[bytes, list[_OpenSearch]] = {}

    @property
    def records(self) -> int:
        """Return how many origins are kept here."""
        return len(self._records)

    @property
    def changes(self) -> int:
        """Return a number that grows with the streams that this router begins."""
        return self._changes

    def refresh(self, now: float) -> Messages:
        """Apply the present lists of targets and routers.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        Messages
            Questions to routers that have not shown yet that they know them.
        """
        age = self._freshness.age(now)
        targets = self._targets
        self._history.update(targets.states, targets.generation, age, now)
        self._holders.set_routers({item.name: item.domain for item in self._others()})
        return self._addressed(self._holders.to_probe(now), self._question(NO_KEY))

    def began(self, request: IncomingRequest, now: float) -> Messages:
        """Record the origin of a stream whose first event is being sent.

        Parameters
        ----------
        request : IncomingRequest
            The caller's request.
        now : float
            Current time in seconds.

        Returns
        -------
        Messages
            Reports to the routers that keep copies.
        """
        origin = request.stream_origin
        if origin is None or not request.route.is_resumable:
            return []
        key = self.key_of(request)
        expires_in = max(0.0, request.give_up_at - now) + RETENTION_SECONDS
        self._longest_window = max(self._longest_window, _window(request))
        return self._record_own(key, origin, expires_in, now)

    def own(self, now: float) -> list[ArchivedOrigin]:
        """Return the records of the streams that this router began.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        list[ArchivedOrigin]
            The records, the oldest first.
        """
        return [
            ArchivedOrigin(key, origin, expires_at - now)
            for key, origin, expires_at in self._own.unexpired(now)
        ]

    def has_several_versions(self, now: float) -> bool:
        """Return whether a service has had several versions while a stream may last.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            True if a stream of this router could not be resumed without its record.
        """
        services = {origin.service for _, origin, _ in self._own.unexpired(now)}
        return any(
            self._history.view(service, self._longest_window, now).has_several
            for service in services
        )

    def restore(self, archived: Iterable[ArchivedOrigin], now: float) -> None:
        """Keep records that a former process of this router has archived.

        Parameters
        ----------
        archived : Iterable[ArchivedOrigin]
            The records.
        now : float
            Current time in seconds.
        """
        for item in archived:
            self._longest_window = max(self._longest_window, item.expires_in)
            self._record_own(item.key, item.origin, item.expires_in, now)

    def reports(self, now: float) -> Messages:
        """Return reports of all streams that this router began.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        Messages
            Reports to the routers that keep copies.
        """
        return [message for item in self.own(now) for message in self._reports_of(item)]

    def key_of(self, request: IncomingRequest) -> bytes:
        """Return the key of the stream of a request.

        Parameters
        ----------
        request : IncomingRequest
            The request, of the attempt that began the stream or of one that resumes it.

        Returns
        -------
        bytes
            The key.
        """
        first = request.first_attempt_id if request.resumes_stream else ""
        return stream_key(request.organisation, first or request.request_id)

    def known(self, request: IncomingRequest, now: float) -> StreamOrigin | None:
        """Return the origin of a stream that is to be resumed, if it is kept here.

        Parameters
        ----------
        request : IncomingRequest
            The caller's request.
        now : float
            Current time in seconds.

        Returns
        -------
        StreamOrigin | None
            The origin; None if it is not kept here.
        """
        if not request.first_attempt_id:
            return None
        return self._records.find(self.key_of(request), now)

    def search(
        self, request: IncomingRequest, on_answer: Callable[[], None], now: float
    ) -> OriginSearch:
        """Begin to search the origin of a stream that is to be resumed.

        Parameters
        ----------
        request : IncomingRequest
            The caller's request.
        on_answer : Callable[[], None]
            Called after each answer that is added to the search.
        now : float
            Current time in seconds.

        Returns
        -------
        OriginSearch
            The search, to be ended with `end_search`.
        """
        key = self.key_of(request)
        is_named = bool(request.first_attempt_id)
        search = OriginSearch(
            request.service,
            self._holders.of(key, ASKED),
            self._history.view(request.service, _window(request), now),
            now,
            is_named=is_named,
            relies_on_peers=(
                self._holders.has_routers and (is_named or not self._is_current(now))
            ),
        )
        self._searches.setdefault(key, []).append(_OpenSearch(search, on_answer))
        return search

    def end_search(self, request: IncomingRequest, search: OriginSearch) -> None:
        """Ignore further answers to a search.

        Parameters
        ----------
        request : IncomingRequest
            The caller's request.
        search : OriginSearch
            The search.
        """
        key = self.key_of(request)
        known = self._searches.get(key, ())
        left = [item for item in known if item.search is not search]
        if left:
            self._searches[key] = left
        else:
            self._searches.pop(key, None)

    def questions(self, request: IncomingRequest, search: OriginSearch) -> Messages:
        """Return the questions to routers that have not answered.

        Parameters
        ----------
        request : IncomingRequest
            The caller's request.
        search : OriginSearch
            The search.

        Returns
        -------
        Messages
            The questions.
        """
        question = self._question(
            self.key_of(request), request.service, _window(request)
        )
        return self._addressed(search.unanswered, question)

    def receive_report(self, message: wire.StreamOriginReport, now: float) -> None:
        """Keep the origin of a stream that another router began.

        Parameters
        ----------
        message : wire.StreamOriginReport
            The report.
        now : float
            Current time in seconds.
        """
        seconds = message.expires_in_ms / MILLISECONDS_PER_SECOND
        if seconds > 0:
            origin = StreamOrigin(message.service_name, message.software_version)
            expires_at = now + min(seconds, MAX_RETENTION_SECONDS)
            self._records.record(message.key, origin, expires_at, now)

    def receive_question(
        self, message: wire.StreamOriginQuestion, now: float
    ) -> wire.StreamOriginAnswer:
        """Answer what another router asks.

        Parameters
        ----------
        message : wire.StreamOriginQuestion
            The question.
        now : float
            Current time in seconds.

        Returns
        -------
        wire.StreamOriginAnswer
            The answer.
        """
        self._holders.confirm(message.origin, now)
        origin = self._records.find(message.key, now)
        window = message.window_ms / MILLISECONDS_PER_SECOND
        view = self._history.view(message.service_name, window, now)
        return wire.StreamOriginAnswer(
            self._name,
            message.key,
            None if origin is None else origin.service,
            None if origin is None else origin.software_version,
            view.only,
            view.has_several,
        )

    def receive_answer(self, message: wire.StreamOriginAnswer, now: float) -> None:
        """Add an answer to the searches that asked for it.

        Parameters
        ----------
        message : wire.StreamOriginAnswer
            The answer.
        now : float
            Current time in seconds.
        """
        self._holders.confirm(message.origin, now)
        origin = None
        if message.service_name is not None:
            origin = StreamOrigin(message.service_name, message.software_version)
        view = VersionView(message.only_version, bool(message.has_several_versions))
        for item in tuple(self._searches.get(message.key, ())):
            item.search.answered(message.origin, origin, view)
            item.on_answer()

    def _record_own(
        self, key: bytes, origin: StreamOrigin, expires_in: float, now: float
    ) -> Messages:
        """Record a stream that this router began, and return reports of it."""
        expires_in = min(expires_in, MAX_RETENTION_SECONDS)
        for records in (self._records, self._own):
            records.record(key, origin, now + expires_in, now)
        self._changes += 1
        return self._reports_of(ArchivedOrigin(key, origin, expires_in))

    def _reports_of(self, item: ArchivedOrigin) -> Messages:
        origin = item.origin
        report = wire.StreamOriginReport(
            item.key,
            origin.service,
            _milliseconds(item.expires_in),
            origin.software_version,
        )
        return self._addressed(self._holders.of(item.key, COPIES), report)

    def _is_current(self, now: float) -> bool:
        age = self._freshness.age(now)
        return age is not None and age <= CURRENT_LIST_AGE_SECONDS

    def _question(
        self, key: bytes, service: str = "", window: float = 0.0
    ) -> wire.StreamOriginQuestion:
        return wire.StreamOriginQuestion(
            self._name, key, service, _milliseconds(window)
        )

    def _addressed(self, names: Iterable[str], message: Message) -> Messages:
        routers = map(self._find, names)
        return [(router, message) for router in routers if router is not None]


def _window(request: IncomingRequest) -> float:
    """Return the seconds within which the last attempt of the stream began."""
    return request.route.timeout + RETENTION_SECONDS


def _milliseconds(seconds: float) -> int:
    return round(min(seconds, MAX_RETENTION_SECONDS) * MILLISECONDS_PER_SECOND)
