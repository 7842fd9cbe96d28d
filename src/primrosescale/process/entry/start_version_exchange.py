"""Asks other routers for their versions when this router starts, and answers them."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from primrosescale.connection.wire import ttypes as wire
from primrosescale.process.events import Event
from primrosescale.request.start_version_check import MAX_ASKED_ROUTERS
from primrosescale.request.start_version_check import StartVersionCheck

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from primrosescale.connection.codec import Message
    from primrosescale.process.entry.entry_dependencies import EntryDependencies
    from primrosescale.process.entry.peer_router import PeerRouter
    from primrosescale.process.entry.state_exchange import StateExchange
    from primrosescale.request.freshness import Freshness

# Interval of questions to those that have not answered, and of looks at the version.
INTERVAL_SECONDS = 0.05


class StartVersionExchange:
    """Lets a router rely on the store once its version is no older than the others'.

    Parameters
    ----------
    name : str
        Name of this router's host.
    freshness : Freshness
        Age of the configuration known here, which counts once that is the case.
    routers : StateExchange
        Knows the other listed routers.
    version : Callable[[], int]
        Returns the version in force here; 0 for none.
    parts : EntryDependencies
        Collaborators of the router.
    """

    def __init__(
        self,
        name: str,
        freshness: Freshness,
        routers: StateExchange,
        version: Callable[[], int],
        parts: EntryDependencies,
    ) -> None:
        self._name = name
        self._freshness = freshness
        self._routers = routers
        self._version = version
        self._reactor: Any = parts.reactor
        self._log = parts.log
        self._rng = parts.rng
        self._check = StartVersionCheck()
        self._asked: list[PeerRouter] = []
        self._send: Callable[[Sequence[tuple[PeerRouter, Message]]], None]
        self._on_trusted: list[Callable[[], None]] = []
        self._was_older = False
        self._began_at = 0.0

    def begin(
        self,
        send: Callable[[Sequence[tuple[PeerRouter, Message]]], None],
        now: float,
    ) -> None:
        """Ask other routers, once their list has been read for the first time.

        Parameters
        ----------
        send : Callable[[Sequence[tuple[PeerRouter, Message]]], None]
            Sends messages to routers.
        now : float
            Present time in seconds.
        """
        if self._freshness.is_trusted or self._check.has_begun:
            return
        self._send = send
        self._began_at = now
        others = self._routers.others
        self._asked = self._rng.sample(others, min(len(others), MAX_ASKED_ROUTERS))
        self._check.begin((router.name for router in self._asked), now)
        self._ask()

    def when_trusted(self, callback: Callable[[], None]) -> None:
        """Call something once the version here is relied on, perhaps at once.

        Parameters
        ----------
        callback : Callable[[], None]
            The function.
        """
        if self._freshness.is_trusted:
            callback()
        else:
            self._on_trusted.append(callback)

    def answer(self) -> wire.VersionAnswer:
        """Return the answer to the question of another router.

        Returns
        -------
        wire.VersionAnswer
            The answer.
        """
        return wire.VersionAnswer(self._name, self._version())

    def receive(self, answer: wire.VersionAnswer, now: float) -> None:
        """Process an answer.

        Parameters
        ----------
        answer : wire.VersionAnswer
            The answer.
        now : float
            Present time in seconds.
        """
        self._check.answered(answer.origin, answer.version)
        self._decide(now)

    def _ask(self) -> None:
        """Ask those that have not answered, and look again until it is decided."""
        now = self._reactor.seconds()
        self._decide(now)
        if self._freshness.is_trusted:
            return
        if not self._check.is_over(now):
            question = wire.VersionQuestion(self._name)
            unanswered = self._check.unanswered
            self._send(
                [(item, question) for item in self._asked if item.name in unanswered]
            )
        self._reactor.callLater(INTERVAL_SECONDS, self._ask)

    def _decide(self, now: float) -> None:
        if self._freshness.is_trusted or not self._check.is_over(now):
            return
        version = self._version()
        if self._check.confirms(version, now):
            self._freshness.trust()
            self._log_result(version, now)
            callbacks, self._on_trusted = self._on_trusted, []
            for callback in callbacks:
                callback()
        elif version and not self._was_older:
            self._was_older = True
            self._log_result(version, now)

    def _log_result(self, version: int, now: float) -> None:
        self._log.emit(
            Event.START_VERSION_CHECKED,
            version=version,
            newest=self._check.newest,
            is_trusted=self._freshness.is_trusted,
            asked=self._check.asked,
            unanswered=sorted(self._check.unanswered),
            took=round(now - self._began_at, 3),
        )
