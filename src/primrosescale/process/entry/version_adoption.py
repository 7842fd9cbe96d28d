"""Decodes versions of the configuration in slices and puts the newest one in force.

Decoding a version with thousands of routes in one turn of the reactor delays the
events of all streams that arrive meanwhile.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from twisted.python.failure import Failure

from primrosescale.clock import cancel_timer
from primrosescale.process.entry.refused_records import RecordKind
from primrosescale.process.entry.refused_records import RefusedRecords
from primrosescale.process.events import Event
from primrosescale.process.exceptions import UnreadableRecordError

if TYPE_CHECKING:
    from collections.abc import Callable

    from primrosescale.clock import Clock
    from primrosescale.clock import Timer
    from primrosescale.process.entry.codec import TableDecoding
    from primrosescale.process.entry.entry_dependencies import EntryDependencies
    from primrosescale.process.transport.platform import StoredObject
    from primrosescale.request.freshness import Freshness
    from primrosescale.version.routing_table import RoutingTable

# Maximum time in one turn of the reactor. The events of streams wait for as long, and
# may be 0.2 s late altogether.
SLICE_SECONDS = 0.005
# When decoding has taken this long, with all that other work added between the slices,
# it is completed in one turn. A version must be in force 3 s after it was written, of
# which receiving takes up to 2.4 s over a link of 5 Mbit/s.
MAX_SLICED_SECONDS = 0.5
# Versions of which decoding is suspended while a newer one is decoded. They are needed
# only if all newer ones turn out to be unreadable.
MAX_SUSPENDED = 3


class _PendingVersion:
    """A version that is being decoded.

    Parameters
    ----------
    stored : StoredObject
        Its record.
    decoding : TableDecoding
        Its number and the steps that are left.
    asked_at : float
        When the request to the store was sent, in seconds.
    number : int
        How many records were received until then, including this one.
    """

    __slots__ = ("asked_at", "confirmed_at", "decoding", "number", "stored")

    def __init__(
        self,
        stored: StoredObject,
        decoding: TableDecoding,
        asked_at: float,
        number: int,
    ) -> None:
        self.stored = stored
        self.decoding = decoding
        self.asked_at = asked_at
        self.number = number
        # When the last request was sent of which the answer shows that nothing newer
        # existed; None for no such answer.
        self.confirmed_at: float | None = None

    @property
    def version(self) -> int:
        """Return the number of the version."""
        return self.decoding.version

    def confirm(self, asked_at: float) -> None:
        """Record that an answer showed nothing newer.

        Parameters
        ----------
        asked_at : float
            When its request was sent, in seconds.
        """
        if self.confirmed_at is None or asked_at > self.confirmed_at:
            self.confirmed_at = asked_at


class Slice:
    """Decides when decoding has to leave the turn to other work.

    Parameters
    ----------
    now : float
        When the turn began, in seconds.
    """

    __slots__ = ("_began_at", "_last_at", "_longest_step")

    def __init__(self, now: float) -> None:
        self._began_at = now
        self._last_at = now
        self._longest_step = 0.0

    def is_over(self, now: float) -> bool:
        """Record that a step ended; return whether another may exceed the slice.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether to go on in a later turn. Steps are taken to be as long as the
            longest one of this turn.
        """
        self._longest_step = max(self._longest_step, now - self._last_at)
        self._last_at = now
        return now - self._began_at + self._longest_step > SLICE_SECONDS


class VersionAdoption:
    """Adopts the newest version that can be decoded, as a whole.

    Parameters
    ----------
    parts : EntryDependencies
        Collaborators of the router.
    freshness : Freshness
        Counts the answers of the store that confirm the version in force.
    on_adopted : Callable[[], None]
        Called when another version is in force.
    on_fault : Callable[[Failure], None]
        Called with unexpected exceptions in a later turn.
    """

    def __init__(
        self,
        parts: EntryDependencies,
        freshness: Freshness,
        on_adopted: Callable[[], None],
        on_fault: Callable[[Failure], None],
    ) -> None:
        self._decoder = parts.decoder
        self._clock: Clock = parts.reactor
        self._log: Any = parts.log
        self._refused = RefusedRecords(
            RecordKind.CONFIGURATION, parts.log, parts.metrics
        )
        self._freshness = freshness
        self._on_adopted = on_adopted
        self._on_fault = on_fault
        self._table: RoutingTable | None = None
        # The last one is the newest and is being decoded; the others are suspended.
        self._pending: list[_PendingVersion] = []
        self._received = 0
        # Numbers of the last record that is in force or equal to it, and of the last
        # one that is not adopted although it may withdraw keys.
        self._settled_number = 0
        self._behind_number = 0
        # The newest version that another router reported, and when it was first known.
        self._reported_version = 0
        self._reported_at = 0.0
        self._timer: Timer | None = None
        self._began_at = 0.0
        self._is_stopped = False

    @property
    def table(self) -> RoutingTable | None:
        """Return the table in force."""
        return self._table

    @property
    def is_behind(self) -> bool:
        """Return whether the last record settled is older or unreadable."""
        return self._behind_number > self._settled_number

    @property
    def is_decoding(self) -> bool:
        """Return whether a version is being decoded."""
        return bool(self._pending)

    def submit(self, stored: StoredObject, asked_at: float) -> None:
        """Begin to decode a version; a small one is adopted at once.

        Parameters
        ----------
        stored : StoredObject
            The record.
        asked_at : float
            When the request to the store was sent, in seconds.
        """
        if self._is_stopped:
            return
        self._received += 1
        try:
            decoding = self._decoder.begin_table(stored)
        except UnreadableRecordError as error:
            self._refuse(stored, error, self._received)
            return
        newest = self._pending[-1] if self._pending else None
        if newest is not None and self._is_known(stored, decoding, newest):
            return
        pending = _PendingVersion(stored, decoding, asked_at, self._received)
        self._pending.append(pending)
        del self._pending[: -1 - MAX_SUSPENDED]
        if newest is None:
            self._began_at = self._clock.seconds()
            self._run_slice()

    def confirm(self, asked_at: float) -> None:
        """Record that all records of an answer of the store were submitted.

        The answer counts at once if its version is in force or no newer, otherwise
        when that version is in force.

        Parameters
        ----------
        asked_at : float
            When the request to the store was sent, in seconds.
        """
        if self._pending:
            newest = self._pending[-1]
            if self._behind_number < newest.number:
                newest.confirm(asked_at)
        elif not self.is_behind:
            self._count(asked_at)

    def reported(self, version: int, now: float) -> None:
        """Record that another router has a version in force.

        Questions sent to the store later are answered with this version or a newer
        one. An older one shows that the store has come back from an older copy, and
        confirms nothing.

        Parameters
        ----------
        version : int
            The version; 0 for none.
        now : float
            Present time in seconds.
        """
        if version > self._reported_version:
            self._reported_version = version
            self._reported_at = now

    def stop(self) -> None:
        """Stop decoding; no version is adopted any more."""
        self._is_stopped = True
        self._pending.clear()
        cancel_timer(self._timer)
        self._timer = None

    def _run_slice(self) -> None:
        """Decode until the slice of this turn is used up, or everything is settled."""
        now = self._clock.seconds()
        # Without a version in force there are no streams that could be delayed.
        is_sliced = (
            self._table is not None and now - self._began_at < MAX_SLICED_SECONDS
        )
        current = Slice(now)
        while self._pending:
            self._step(self._pending[-1])
            if is_sliced and current.is_over(self._clock.seconds()):
                break
        if self._pending:
            self._timer = self._clock.callLater(0, self._run_next_slice)

    def _run_next_slice(self) -> None:
        self._timer = None
        try:
            self._run_slice()
        except Exception:  # noqa: BLE001 - nobody would notice that decoding ended
            self._on_fault(Failure())
            if self._pending and self._timer is None:
                self._timer = self._clock.callLater(0, self._run_next_slice)

    def _step(self, pending: _PendingVersion) -> None:
        try:
            next(pending.decoding.steps)
        except StopIteration as end:
            self._pending.clear()
            self._settle(pending, end.value)
        except UnreadableRecordError as error:
            self._pending.remove(pending)
            self._refuse(pending.stored, error, pending.number)
        except Exception:
            # What the version withdraws is not known.
            self._pending.remove(pending)
            self._behind_number = max(self._behind_number, pending.number)
            raise

    def _settle(self, pending: _PendingVersion, table: RoutingTable) -> None:
        """Put a decoded version in force unless it is no newer."""
        # A newer record that was refused meanwhile stays listed as refused.
        if self._behind_number < pending.number:
            self._refused.clear(pending.stored.key)
        known = self._table
        if known is not None and table.version < known.version:
            self._behind_number = max(self._behind_number, pending.number)
            self._log_older(table.version, known.version)
            return
        self._settled_number = max(self._settled_number, pending.number)
        if known is None or table.version > known.version:
            self._table = table
            self._on_adopted()
            age = round(self._clock.seconds() - pending.asked_at, 3)
            self._log.emit(Event.TABLE_ADOPTED, version=table.version, asked_before=age)
        if pending.confirmed_at is not None:
            self._count(pending.confirmed_at)

    def _count(self, asked_at: float) -> None:
        """Count an answer of the store, unless it comes from an older copy."""
        own = 0 if self._table is None else self._table.version
        if own >= self._reported_version or asked_at <= self._reported_at:
            self._freshness.answered(asked_at)

    def _is_known(
        self, stored: StoredObject, decoding: TableDecoding, newest: _PendingVersion
    ) -> bool:
        """Return whether a record is older than or the same as the newest one."""
        if decoding.version < newest.version:
            self._behind_number = self._received
            self._log_older(decoding.version, newest.version)
            return True
        if stored.version == newest.stored.version:
            newest.number = self._received
            return True
        # Another record with the same number may be unreadable or withdraw keys.
        return False

    def _refuse(
        self, stored: StoredObject, error: UnreadableRecordError, number: int
    ) -> None:
        self._behind_number = max(self._behind_number, number)
        self._refused.refuse(stored, error)

    def _log_older(self, version: int, known: int) -> None:
        detail = f"version {version} is older than {known}"
        self._log.emit(Event.TABLE_REFUSED, detail=detail)
