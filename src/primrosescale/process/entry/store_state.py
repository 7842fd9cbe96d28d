"""What an entry router knows from the store: routes, keys and targets."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from primrosescale.process.entry.listed_evacuations import ListedEvacuations
from primrosescale.process.entry.listed_targets import ListedTargets
from primrosescale.process.entry.refused_records import RecordKind
from primrosescale.process.entry.refused_records import RefusedRecords
from primrosescale.process.entry.store_connection import StoreConnection
from primrosescale.process.entry.store_watch import StoreWatch
from primrosescale.process.entry.store_watch import WatchListener
from primrosescale.process.events import Event
from primrosescale.process.exceptions import PlatformError
from primrosescale.process.exceptions import UnreadableRecordError

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python.failure import Failure

    from primrosescale.process.entry.entry_dependencies import EntryDependencies
    from primrosescale.process.entry.entry_settings import EntrySettings
    from primrosescale.process.entry.entry_settings import WatchedPrefixes
    from primrosescale.process.entry.store_watch import WatchedPrefix
    from primrosescale.process.entry.target_list import TargetList
    from primrosescale.process.transport.platform import StoredObject
    from primrosescale.process.transport.platform import WatchResult
    from primrosescale.request.evacuations import Evacuations
    from primrosescale.request.freshness import Freshness
    from primrosescale.version.routing_table import RoutingTable


# Age of the knowledge at which this router asks, though others do so for it:
# their questions leave it at most twice a watch of 1.5 s old and a round of news
# more.
ASK_AT_AGE = 3.4
ASK_AGAIN_SECONDS = 0.7
# The same while the last question is still under way: on a thin link its answer
# may be on its way, and a second one would only slow it down.
ASK_BESIDE_SECONDS = 2.0
# A newer version that others tell of is normally on its way here, 0.5 s for 600
# kB over the thinnest link of today (10 Mbit/s); it has to be in force in 2 s.
VERSION_PATIENCE = 0.8
# A change of the list of targets that others tell of is normally known here by
# then: an answer of the store takes 4 ms, and 0.25 s while it is slow.
LIST_PATIENCE = 0.3


class _Lag:
    """Whether others have known more for longer than it takes to arrive here.

    Parameters
    ----------
    patience : float
        Seconds that it may take.
    """

    __slots__ = ("_patience", "_since")

    def __init__(self, patience: float) -> None:
        self._patience = patience
        self._since: float | None = None

    def is_over(self, now: float, *, is_behind: bool) -> bool:
        """Take in whether others know more; tell whether for too long."""
        if not is_behind:
            self._since = None
            return False
        if self._since is None:
            self._since = now
        return now - self._since >= self._patience

    def restart(self) -> None:
        """Wait anew: something was done about it."""
        self._since = None


class _ConfigurationHandler(WatchListener):
    """Keeps the newest version that can be read."""

    def __init__(
        self,
        knowledge: StoreState,
        connection: StoreConnection,
        prefix: str,
    ) -> None:
        self._store_state = knowledge
        self._connection = connection
        self._prefix = prefix

    def replaced(self, objects: tuple[StoredObject, ...], asked_at: float) -> None:
        """Take in the newest version."""
        self._take(objects, asked_at)

    def changed(self, objects: tuple[StoredObject, ...], asked_at: float) -> None:
        """Take in newer versions."""
        self._take(objects, asked_at)

    def failed(self, error: PlatformError) -> None:
        """Note that the store could not be asked."""
        self._connection.lost(error)

    def _take(self, objects: tuple[StoredObject, ...], asked_at: float) -> None:
        if self._connection.regained():
            self._store_state.renew_watches()
        for stored in objects:
            # The store gives all objects whose names begin alike.
            is_other = not self._prefix.endswith("/") and stored.key != self._prefix
            if not stored.is_deleted and not is_other:
                self._store_state.adopt(stored, asked_at)
        if not self._store_state.is_behind:
            self._store_state.freshness.answered(asked_at)


class StoreState:
    """The newest version of the configuration and the list of targets.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the router.
    watches : WatchedPrefixes
        What is followed.
    parts : EntryDependencies
        What the router is built with.
    freshness : Freshness
        How old the knowledge of the configuration is.
    targets : TargetList
        Targets and their states.
    routers : WatchListener
        Follows the list of routers.
    polls_store : Callable[[], bool]
        Returns whether this router asks the store for others too.
    evacuations : Evacuations | None
        Failure domains that get no requests; None for a router that follows none.
    """

    def __init__(
        self,
        settings: EntrySettings,
        watches: WatchedPrefixes,
        parts: EntryDependencies,
        freshness: Freshness,
        targets: TargetList,
        routers: WatchListener,
        polls_store: Callable[[], bool],
        evacuations: Evacuations | None = None,
    ) -> None:
        self._reactor = parts.reactor
        self._log = parts.log
        self._decoder = parts.decoder
        self._platform = parts.platform
        self._rng = parts.rng
        self._table: RoutingTable | None = None
        self._is_behind = False
        self._on_complete: Callable[[], None] | None = None
        self._freshness = freshness
        self._targets = targets
        self._listed = ListedTargets(
            targets,
            watches.targets.rest,
            parts.decoder,
            RefusedRecords(RecordKind.TARGET, parts.log, parts.metrics),
            parts.log,
            self._now,
            self._look_complete,
        )
        self._refused = RefusedRecords(
            RecordKind.CONFIGURATION, parts.log, parts.metrics
        )
        self._connection = StoreConnection("configuration", parts.log, self._now)
        self._watched = watches.configuration
        self._handler = _ConfigurationHandler(
            self, self._connection, watches.configuration.prefix
        )
        self._asks_often = polls_store
        self._asked_at: float | None = None
        self._is_asking = False
        self._told_version = 0
        self._version_lag = _Lag(VERSION_PATIENCE)
        self._list_lag = _Lag(watches.targets.rest + LIST_PATIENCE)
        self._watches: list[StoreWatch] = []
        self._follow(watches.configuration, self._handler, self._configuration_wait)
        self._targets_watch = self._follow_lists(watches.targets, self._listed)
        self._follow_lists(watches.routers, routers)
        self._evacuations: ListedEvacuations | None = None
        if watches.evacuations is not None and evacuations is not None:
            self._evacuations = ListedEvacuations(
                evacuations,
                lambda: watch.revision,
                self._now,
                self._look_complete,
            )
            watch = self._follow_lists(watches.evacuations, self._evacuations)

    @property
    def freshness(self) -> Freshness:
        """Return how old the knowledge of the configuration is."""
        return self._freshness

    @property
    def targets(self) -> TargetList:
        """Return the targets and their states."""
        return self._targets

    @property
    def listed(self) -> ListedTargets:
        """Return what keeps the targets in step with the store."""
        return self._listed

    @property
    def table(self) -> RoutingTable | None:
        """Return the newest version, if one is known."""
        return self._table

    @property
    def is_behind(self) -> bool:
        """Tell whether the store has a version that cannot be read here.

        It may withdraw keys, so that answers of the store say nothing about
        the keys of the version that is known.
        """
        return self._is_behind

    @property
    def is_complete(self) -> bool:
        """Tell whether routes and targets are known."""
        return self._table is not None and not self._missing_list

    @property
    def _missing_list(self) -> str:
        """Return what the store has not been read for yet; empty for nothing."""
        if not self._listed.is_complete:
            return "no list of targets"
        if self._evacuations is not None and not self._evacuations.is_complete:
            return "no list of evacuations"
        return ""

    @property
    def store_calls(self) -> int:
        """Return how many calls to the store were made."""
        return int(getattr(self._platform, "calls", 0))

    def configure(self, settings: EntrySettings) -> None:
        """Take in changed settings.

        Parameters
        ----------
        settings : EntrySettings
            Settings of the router.
        """
        self._freshness.configure(settings.revoke)
        self._targets.configure(settings.drain)

    def start(self, on_complete: Callable[[], None]) -> None:
        """Follow the store.

        Parameters
        ----------
        on_complete : Callable[[], None]
            Called once, when routes and targets are known.
        """
        self._on_complete = on_complete
        for watch in self._watches:
            running = watch.run()
            running.addErrback(self._broken)

    def poll_if_stale(
        self, newest_version: int, newest_list_revision: int, now: float
    ) -> None:
        """Ask the store when others know more, or their questions are too old.

        Parameters
        ----------
        newest_version : int
            Newest version that another router tells of.
        newest_list_revision : int
            Newest change of the list of targets that another router tells of,
            as the store's revision.
        now : float
            Present time in seconds.
        """
        self._look_after_list(newest_list_revision, now)
        is_due = self._is_old(now) or self._is_outdated(newest_version, now)
        if not is_due or self._is_lost():
            # A lost store is asked by the watch, again and again.
            return
        pause = ASK_BESIDE_SECONDS if self._is_asking else ASK_AGAIN_SECONDS
        if self._asked_at is None or now - self._asked_at > pause:
            self._asked_at = now
            self._ask(now)

    def renew_watches(self) -> None:
        """Ask anew what waits for an answer.

        A store that went silent towards this router may never answer what it
        was asked before; changes would go unnoticed until the wait is over.
        """
        for watch in self._watches:
            watch.renew()

    def _follow_lists(
        self, watched: WatchedPrefix, handler: WatchListener
    ) -> StoreWatch:
        """Follow what the watch of the configuration asks a lost store for too."""
        return self._follow(watched, handler, leaves_asking=self._is_lost)

    def _follow(
        self,
        watched: WatchedPrefix,
        handler: WatchListener,
        wait: Callable[[], float] | None = None,
        leaves_asking: Callable[[], bool] = lambda: False,
    ) -> StoreWatch:
        watch = StoreWatch(
            self._platform,
            watched,
            handler,
            self._reactor,
            self._rng,
            self._broken,
            wait,
            leaves_asking,
        )
        self._watches.append(watch)
        return watch

    def _is_old(self, now: float) -> bool:
        age = self._freshness.age(now)
        return age is None or age > ASK_AT_AGE

    def _is_outdated(self, newest_version: int, now: float) -> bool:
        """Tell whether others have had a newer version for some time."""
        own = 0 if self._table is None else self._table.version
        # Versions only go up: what was told once holds when the teller is gone.
        self._told_version = max(self._told_version, newest_version)
        return self._version_lag.is_over(now, is_behind=self._told_version > own)

    def _look_after_list(self, newest: int, now: float) -> None:
        """Renew the watch of targets when another router heard a change first."""
        watch = self._targets_watch
        is_behind = self._listed.is_complete and newest > watch.revision
        if self._list_lag.is_over(now, is_behind=is_behind):
            self._list_lag.restart()
            self._log.emit(
                Event.WATCH_RENEWED,
                watch="targets",
                known=watch.revision,
                told=newest,
            )
            watch.renew()

    def _ask(self, asked_at: float) -> None:
        self._is_asking = True
        reading = self._platform.watch(self._watched.prefix, 0, 0.0)

        def answered(found: WatchResult) -> None:
            self._is_asking = False
            self._handler.replaced(found.changes, asked_at)

        def failed(failure: Failure) -> None:
            self._is_asking = False
            error = failure.value
            if not isinstance(error, PlatformError):
                self._broken(failure)
                return
            self._handler.failed(error)

        reading.addCallbacks(answered, failed)
        reading.addErrback(self._broken)

    def _is_lost(self) -> bool:
        """Tell whether the watch of the configuration asks the store for all."""
        return self._connection.lost_at is not None

    def _configuration_wait(self) -> float:
        if self._asks_often():
            return self._watched.wait
        return max(self._watched.wait, self._watched.longest_wait)

    def stop(self) -> None:
        """Follow the store no more."""
        for watch in self._watches:
            watch.stop()

    def lost_for(self, now: float) -> float:
        """Return for how long the store has not told of the configuration.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        float
            Seconds; 0 while it answers.
        """
        lost_at = self._connection.lost_at
        return 0.0 if lost_at is None else now - lost_at

    def missing(self, now: float) -> str:
        """Return what is missing for serving callers.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        str
            For the log; empty when nothing is missing.
        """
        if self._table is None:
            return "no configuration"
        if self._missing_list:
            return self._missing_list
        if self._table.has_keys and not self._freshness.allows_keys(now):
            return "configuration too old"
        return ""

    def rounded_age(self, now: float) -> float | None:
        """Return the age of the newest answer about the configuration.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        float | None
            Seconds; None before the first answer.
        """
        age = self._freshness.age(now)
        return None if age is None else round(age, 2)

    def adopt(self, stored: StoredObject, asked_at: float) -> None:
        """Take in a version, unless it is older or cannot be read.

        Parameters
        ----------
        stored : StoredObject
            The record.
        asked_at : float
            When the store was asked, in seconds.
        """
        try:
            table = self._decoder.table(stored)
        except UnreadableRecordError as error:
            self._is_behind = True
            self._refused.refuse(stored, error)
            return
        self._refused.settle(stored.key)
        known = self._table
        self._is_behind = known is not None and table.version < known.version
        if known is not None and table.version <= known.version:
            if table.version < known.version:
                detail = f"version {table.version} is older than {known.version}"
                self._log.emit(Event.TABLE_REFUSED, detail=detail)
            return
        self._table = table
        self._look_complete()
        age = round(self._now() - asked_at, 3)
        self._log.emit(Event.TABLE_ADOPTED, version=table.version, asked_before=age)

    def _look_complete(self) -> None:
        if self.is_complete and self._on_complete is not None:
            on_complete, self._on_complete = self._on_complete, None
            on_complete()

    def _broken(self, failure: Any) -> None:
        self._log.emit(Event.LOOP_FAILED, detail=failure.getTraceback())

    def _now(self) -> float:
        return float(self._reactor.seconds())
