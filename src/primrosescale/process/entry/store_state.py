"""The configuration and the list of targets as last read from the platform's store.

It also decides when the store is polled in addition to the watches: when peer routers
report newer state, or when the last answer is too old.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from primrosescale.process.entry.evacuation_list_sync import EvacuationListSync
from primrosescale.process.entry.refused_records import RecordKind
from primrosescale.process.entry.refused_records import RefusedRecords
from primrosescale.process.entry.store_connection import StoreConnection
from primrosescale.process.entry.store_watch import StoreWatch
from primrosescale.process.entry.store_watch import WatchListener
from primrosescale.process.entry.target_list_sync import TargetListSync
from primrosescale.process.entry.version_adoption import VersionAdoption
from primrosescale.process.events import Event
from primrosescale.process.exceptions import PlatformError

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
    from primrosescale.request.freshness import Freshness
    from primrosescale.request.target.evacuations import Evacuations
    from primrosescale.version.routing_table import RoutingTable


# Age of the configuration at which this router polls the store although other routers
# do so on behalf of all. With their requests it is at most two watches of 1.5 s old,
# plus one round of updates.
POLL_AGE_SECONDS = 3.4
# Minimum pause between two such polls.
POLL_PAUSE_SECONDS = 0.7
# The same while the last request is still pending: on a slow link its answer may be on
# its way, and a second one would only delay it.
PARALLEL_POLL_PAUSE_SECONDS = 2.0
# A newer version that others report is normally on its way here: 0.5 s for 600 kB over
# the slowest links in use (10 Mbit/s). It has to be in force within 2 s.
VERSION_ARRIVAL_SECONDS = 0.8
# A change of the list of targets that others report is normally known here by then: the
# store answers in 4 ms, and in 0.25 s while it is slow.
LIST_ARRIVAL_SECONDS = 0.3


class _Lag:
    """Whether others have known more for longer than an update takes to arrive here.

    Parameters
    ----------
    allowance : float
        Seconds that it may take.
    """

    __slots__ = ("_allowance", "_since")

    def __init__(self, allowance: float) -> None:
        self._allowance = allowance
        self._since: float | None = None

    def is_overdue(self, now: float, *, is_behind: bool) -> bool:
        """Record whether others know more; return whether they have for too long."""
        if not is_behind:
            self._since = None
            return False
        if self._since is None:
            self._since = now
        return now - self._since >= self._allowance

    def restart(self) -> None:
        """Start the wait again, after something was done about the lag."""
        self._since = None


class _ConfigurationHandler(WatchListener):
    """Adopts the newest version that can be decoded."""

    def __init__(
        self,
        store_state: StoreState,
        connection: StoreConnection,
        prefix: str,
    ) -> None:
        self._store_state = store_state
        self._connection = connection
        self._prefix = prefix

    def replaced(self, objects: tuple[StoredObject, ...], asked_at: float) -> None:
        """Apply the newest version."""
        self._apply(objects, asked_at)

    def changed(self, objects: tuple[StoredObject, ...], asked_at: float) -> None:
        """Apply newer versions."""
        self._apply(objects, asked_at)

    def failed(self, error: PlatformError) -> None:
        """Record that a request to the store failed."""
        self._connection.record_failure(error)

    def _apply(self, objects: tuple[StoredObject, ...], asked_at: float) -> None:
        if self._connection.record_success():
            self._store_state.renew_watches()
        for stored in objects:
            # The store returns all objects whose names begin with the prefix.
            is_other = not self._prefix.endswith("/") and stored.key != self._prefix
            if not stored.is_deleted and not is_other:
                self._store_state.adopt(stored, asked_at)
        self._store_state.confirm(asked_at)


class StoreState:
    """The newest configuration and the list of targets, as read from the store.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the router.
    watches : WatchedPrefixes
        Prefixes to watch.
    parts : EntryDependencies
        Collaborators of the router.
    freshness : Freshness
        Age of the configuration known here.
    targets : TargetList
        Targets and their states.
    routers : WatchListener
        Follows the list of routers.
    polls_store : Callable[[], bool]
        Returns whether this router polls the store on behalf of the others too.
    evacuations : Evacuations | None
        Failure domains that get no requests; None if evacuations are not followed.
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
        self._platform = parts.platform
        self._rng = parts.rng
        self._on_complete: Callable[[], None] | None = None
        self._freshness = freshness
        self._targets = targets
        self._target_list_sync = TargetListSync(
            targets,
            watches.targets.rest,
            parts.decoder,
            RefusedRecords(RecordKind.TARGET, parts.log, parts.metrics),
            parts.log,
            self._now,
            self._check_complete,
        )
        self._versions = VersionAdoption(
            parts, freshness, self._check_complete, self._log_fault
        )
        self._connection = StoreConnection("configuration", parts.log, self._now)
        self._watched = watches.configuration
        self._handler = _ConfigurationHandler(
            self, self._connection, watches.configuration.prefix
        )
        self._polls_store = polls_store
        self._polled_at: float | None = None
        self._is_polling = False
        self._reported_version = 0
        self._version_lag = _Lag(VERSION_ARRIVAL_SECONDS)
        self._list_lag = _Lag(watches.targets.rest + LIST_ARRIVAL_SECONDS)
        self._watches: list[StoreWatch] = []
        self._follow(watches.configuration, self._handler, self._configuration_wait)
        self._targets_watch = self._follow_lists(
            watches.targets, self._target_list_sync
        )
        self._follow_lists(watches.routers, routers)
        self._settings = settings
        self._evacuations: EvacuationListSync | None = None
        if watches.evacuations is not None and evacuations is not None:
            self._evacuations = EvacuationListSync(
                evacuations,
                parts.decoder,
                RefusedRecords(RecordKind.EVACUATION, parts.log, parts.metrics),
                lambda: self._settings.regions,
                lambda: watch.revision,
                self._now,
                self._check_complete,
            )
            watch = self._follow_lists(watches.evacuations, self._evacuations)

    @property
    def freshness(self) -> Freshness:
        """Return the age of the configuration."""
        return self._freshness

    @property
    def targets(self) -> TargetList:
        """Return the targets and their states."""
        return self._targets

    @property
    def target_list_sync(self) -> TargetListSync:
        """Return what keeps the list of targets in sync with the store."""
        return self._target_list_sync

    @property
    def table(self) -> RoutingTable | None:
        """Return the routing table of the newest version, if one is known."""
        return self._versions.table

    @property
    def is_behind(self) -> bool:
        """Return whether the version last read could not be adopted.

        It could not be decoded, or it is older than the version known here. It may
        withdraw keys, so answers of the store do not confirm the keys of the version
        known here.
        """
        return self._versions.is_behind

    @property
    def is_complete(self) -> bool:
        """Return whether routes and targets are known."""
        return self.table is not None and not self._missing_list

    @property
    def _missing_list(self) -> str:
        """Return what has not been read from the store yet; empty for nothing."""
        if not self._target_list_sync.is_complete:
            return "no list of targets"
        if self._evacuations is not None and not self._evacuations.is_complete:
            return "no list of evacuations"
        return ""

    @property
    def store_calls(self) -> int:
        """Return how many calls to the store were made."""
        return int(getattr(self._platform, "calls", 0))

    def configure(self, settings: EntrySettings) -> None:
        """Apply changed settings.

        Parameters
        ----------
        settings : EntrySettings
            Settings of the router.
        """
        self._freshness.configure(settings.revoke)
        self._targets.configure(settings.drain)
        self._settings = settings

    def start(self, on_complete: Callable[[], None]) -> None:
        """Start watching the store.

        Parameters
        ----------
        on_complete : Callable[[], None]
            Called once, when routes and targets are known.
        """
        self._on_complete = on_complete
        for watch in self._watches:
            running = watch.run()
            running.addErrback(self._log_fault)

    def poll_if_stale(
        self, newest_version: int, newest_list_revision: int, now: float
    ) -> None:
        """Poll the store if peer routers know more or its last answer is too old.

        Parameters
        ----------
        newest_version : int
            Newest version that another router reports.
        newest_list_revision : int
            Newest change of the list of targets that another router reports, as the
            store's revision.
        now : float
            Present time in seconds.
        """
        self._versions.reported(newest_version, now)
        self._check_target_list(newest_list_revision, now)
        is_due = self._is_old(now) or self._is_outdated(newest_version, now)
        if not is_due or self._is_store_lost():
            # While the store does not answer, the watch polls it repeatedly.
            return
        pause = PARALLEL_POLL_PAUSE_SECONDS if self._is_polling else POLL_PAUSE_SECONDS
        if self._polled_at is None or now - self._polled_at > pause:
            self._polled_at = now
            self._poll(now)

    def renew_watches(self) -> None:
        """Send the pending requests of all watches again.

        A store that stopped answering this router may never answer the requests that
        it received before; changes would go unnoticed until their wait is over.
        """
        for watch in self._watches:
            watch.renew()

    def _follow_lists(
        self, watched: WatchedPrefix, handler: WatchListener
    ) -> StoreWatch:
        """Watch a prefix, but leave polling an unavailable store to the main watch."""
        return self._follow(watched, handler, defers_polling=self._is_store_lost)

    def _follow(
        self,
        watched: WatchedPrefix,
        handler: WatchListener,
        wait: Callable[[], float] | None = None,
        defers_polling: Callable[[], bool] = lambda: False,
    ) -> StoreWatch:
        watch = StoreWatch(
            self._platform,
            watched,
            handler,
            self._reactor,
            self._rng,
            self._log_fault,
            wait,
            defers_polling,
        )
        self._watches.append(watch)
        return watch

    def _is_old(self, now: float) -> bool:
        age = self._freshness.age(now)
        return age is None or age > POLL_AGE_SECONDS

    def _is_outdated(self, newest_version: int, now: float) -> bool:
        """Return whether others have had a newer version for some time."""
        own = 0 if self.table is None else self.table.version
        # Versions only increase, so a reported one stays valid when its reporter is
        # gone.
        self._reported_version = max(self._reported_version, newest_version)
        is_behind = self._reported_version > own and not self._is_arriving()
        return self._version_lag.is_overdue(now, is_behind=is_behind)

    def _is_arriving(self) -> bool:
        """Return whether a version is being received or decoded.

        Requesting it again would only delay it on a slow link.
        """
        is_receiving = bool(getattr(self._platform, "is_receiving", False))
        return is_receiving or self._versions.is_decoding

    def _check_target_list(self, newest: int, now: float) -> None:
        """Renew the watch of targets if another router knows a change first."""
        watch = self._targets_watch
        is_behind = self._target_list_sync.is_complete and newest > watch.revision
        if self._list_lag.is_overdue(now, is_behind=is_behind):
            self._list_lag.restart()
            self._log.emit(
                Event.WATCH_RENEWED,
                watch="targets",
                known=watch.revision,
                told=newest,
            )
            watch.renew()

    def _poll(self, asked_at: float) -> None:
        self._is_polling = True
        reading = self._platform.watch(self._watched.prefix, 0, 0.0)

        def answered(found: WatchResult) -> None:
            self._is_polling = False
            self._handler.replaced(found.changes, asked_at)

        def failed(failure: Failure) -> None:
            self._is_polling = False
            error = failure.value
            if not isinstance(error, PlatformError):
                self._log_fault(failure)
                return
            self._handler.failed(error)

        reading.addCallbacks(answered, failed)
        reading.addErrback(self._log_fault)

    def _is_store_lost(self) -> bool:
        """Return whether the configuration's watch is polling an unavailable store."""
        return self._connection.lost_at is not None

    def _configuration_wait(self) -> float:
        """Return for how long the store may hold a configuration request open."""
        if self._polls_store():
            return self._watched.wait
        return max(self._watched.wait, self._watched.longest_wait)

    def stop(self) -> None:
        """Stop watching the store."""
        for watch in self._watches:
            watch.stop()
        self._versions.stop()

    def lost_for(self, now: float) -> float:
        """Return for how long the store has not answered about the configuration.

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
        """Return what is missing before callers can be served.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        str
            For the log; empty when nothing is missing.
        """
        if self.table is None:
            return "no configuration"
        if self._missing_list:
            return self._missing_list
        if self.table.requires_keys and not self._freshness.allows_keys(now):
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
        """Adopt a version once it is decoded, unless it is older or unreadable.

        Parameters
        ----------
        stored : StoredObject
            The record.
        asked_at : float
            When the request to the store was sent, in seconds.
        """
        self._versions.submit(stored, asked_at)

    def confirm(self, asked_at: float) -> None:
        """Record that all objects of an answer of the store were passed to `adopt`.

        Parameters
        ----------
        asked_at : float
            When the request to the store was sent, in seconds.
        """
        self._versions.confirm(asked_at)

    def _check_complete(self) -> None:
        if self.is_complete and self._on_complete is not None:
            on_complete, self._on_complete = self._on_complete, None
            on_complete()

    def _log_fault(self, failure: Any) -> None:
        self._log.emit(Event.LOOP_FAILED, detail=failure.getTraceback())

    def _now(self) -> float:
        return float(self._reactor.seconds())
