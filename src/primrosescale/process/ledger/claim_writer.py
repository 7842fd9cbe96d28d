"""Grants or refuses claims on idempotency keys and stores them in the ledger.

Any router may write any bucket of the ledger. All routers choose the same writer of
a bucket by rendezvous hashing, so that its claims are stored in batches. If two
routers write one bucket, conditional updates keep it consistent and only throughput
is lost.
"""

from __future__ import annotations

import contextlib
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.defer import inlineCallbacks

from primrosescale.connection.wire import ttypes as wire
from primrosescale.connection.wire.ttypes import ClaimState
from primrosescale.process.exceptions import PlatformAnswerLostError
from primrosescale.process.exceptions import PlatformConflictError
from primrosescale.process.exceptions import PlatformError
from primrosescale.process.ledger.ledger_bucket import FORMAT
from primrosescale.process.ledger.ledger_bucket import LAYOUT_KEY
from primrosescale.process.ledger.ledger_bucket import MILLISECONDS_PER_SECOND
from primrosescale.process.ledger.ledger_bucket import Decision
from primrosescale.process.ledger.ledger_bucket import LedgerFormatError
from primrosescale.process.ledger.ledger_bucket import SealedIndex
from primrosescale.process.ledger.ledger_bucket import bucket_of
from primrosescale.process.ledger.ledger_bucket import decide
from primrosescale.process.ledger.ledger_bucket import decode_segment
from primrosescale.process.ledger.ledger_bucket import encode_segment
from primrosescale.process.ledger.ledger_bucket import sealed_name
from primrosescale.process.ledger.ledger_bucket import tail_name
from primrosescale.process.transport.platform import MUST_NOT_EXIST

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Generator

    from twisted.python.failure import Failure

    from primrosescale.clock import Clock
    from primrosescale.process.ledger.ledger_bucket import LedgerSettings
    from primrosescale.process.transport.platform import Platform

RETRY_DELAY_SECONDS = 0.1


@dataclass(slots=True, eq=False)
class _PendingRequest:
    """A request about a claim, waiting for the next update of its bucket."""

    request: wire.ClaimRequest
    until: float
    result: Deferred[wire.ClaimReply]


class _Bucket:
    """Copy of a bucket in this writer, with the requests pending for it."""

    def __init__(self) -> None:
        self.pending: list[_PendingRequest] = []
        self.entries: dict[bytes, wire.LedgerEntry] = {}
        self.sealed: list[SealedIndex] = []
        self.version = MUST_NOT_EXIST
        self.is_loaded = False
        self.is_updating = False
        self.written_at = -1.0e9


class ClaimWriter:
    """Decides requests to claim, record or abandon keys and stores the decisions.

    Parameters
    ----------
    settings : LedgerSettings
        Limits and intervals.
    platform : Platform
        Object store that holds the ledger.
    clock : Clock
        Source of time and timers.
    wall_clock : Callable[[], float]
        Returns seconds since 1970; used for retention.
    """

    def __init__(
        self,
        settings: LedgerSettings,
        platform: Platform,
        clock: Clock,
        wall_clock: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._platform = platform
        self._clock = clock
        self._wall_clock = wall_clock
        self._buckets: dict[int, _Bucket] = {}
        self._has_layout = False
        self._decided = 0
        self._writes = 0

    @property
    def decided(self) -> int:
        """Return the number of requests about claims decided so far."""
        return self._decided

    @property
    def writes(self) -> int:
        """Return the number of bucket updates written so far."""
        return self._writes

    @property
    def key_count(self) -> int:
        """Return the number of keys held in memory."""
        return sum(
            len(bucket.entries) + sum(len(index) for index in bucket.sealed)
            for bucket in self._buckets.values()
        )

    def submit(self, request: wire.ClaimRequest) -> Deferred[wire.ClaimReply]:
        """Decide a request about a claim and store the decision.

        Parameters
        ----------
        request : wire.ClaimRequest
            The request to claim a key, or to record or abandon its claim.

        Returns
        -------
        Deferred[wire.ClaimReply]
            Never fails; `ClaimState.UNAVAILABLE` when the platform did not
            store the decision in time.
        """
        number = bucket_of(request.key, self._settings.buckets)
        bucket = self._buckets.setdefault(number, _Bucket())
        until = self._clock.seconds() + self._settings.claim_timeout
        pending = _PendingRequest(request, until, Deferred())
        bucket.pending.append(pending)
        if not bucket.is_updating:
            bucket.is_updating = True
            self._schedule_update(number, bucket)
        return pending.result

    def _schedule_update(self, number: int, bucket: _Bucket) -> None:
        due = bucket.written_at + self._settings.write_interval
        wait = max(0.0, due - self._clock.seconds())
        self._clock.callLater(wait, self._start_update, number, bucket)

    def _start_update(self, number: int, bucket: _Bucket) -> None:
        done = self._update_bucket(number, bucket)
        done.addErrback(self._refuse_pending, bucket)
        done.addBoth(self._update_ended, number, bucket)

    def _update_ended(self, result: Any, number: int, bucket: _Bucket) -> Any:
        self._refuse_expired(bucket)
        if bucket.pending:
            self._schedule_update(number, bucket)
        else:
            bucket.is_updating = False
        return result

    def _refuse_expired(self, bucket: _Bucket) -> None:
        now = self._clock.seconds()
        expired = [item for item in bucket.pending if item.until <= now]
        for item in expired:
            bucket.pending.remove(item)
            self._answer_unavailable(item)

    def _refuse_pending(self, failure: Any, bucket: _Bucket) -> None:
        """Refuse the requests of an unreadable bucket and mark it for reloading."""
        bucket.is_loaded = False
        bucket.sealed = []
        waiting, bucket.pending = bucket.pending, []
        for item in waiting:
            self._answer_unavailable(item)
        failure.trap(LedgerFormatError)

    def _answer_unavailable(self, item: _PendingRequest) -> None:
        number = item.request.number
        item.result.callback(wire.ClaimReply(number, ClaimState.UNAVAILABLE))

    @inlineCallbacks
    def _update_bucket(self, number: int, bucket: _Bucket) -> Generator[Any, Any, None]:
        """Decide and store one batch; after a failure, the bucket is read again."""
        batch = list(bucket.pending)
        try:
            if not self._has_layout:
                yield self._check_layout()
            if not bucket.is_loaded:
                yield self._load_tail(number, bucket)
            decisions = yield self._decide_all(bucket, batch)
            yield self._write_decisions(number, bucket, decisions)
        except (PlatformConflictError, PlatformAnswerLostError):
            bucket.is_loaded = False
            bucket.written_at = self._clock.seconds() - self._settings.write_interval
            return
        except PlatformError:
            bucket.is_loaded = False
            bucket.written_at = self._clock.seconds() + RETRY_DELAY_SECONDS
            bucket.written_at -= self._settings.write_interval
            return
        for item, decision in zip(batch, decisions, strict=True):
            if item in bucket.pending:
                bucket.pending.remove(item)
                self._decided += 1
                item.result.callback(decision.reply)

    @inlineCallbacks
    def _check_layout(self) -> Generator[Any, Any, None]:
        """Check that all writers use the same number of buckets.

        Writers with different numbers would look up one key in different
        buckets and grant it twice, so the first writer of a ledger stores its
        number.
        """
        expected = str(self._settings.buckets).encode()
        found = yield self._platform.get(LAYOUT_KEY)
        if found is None:
            yield self._platform.put(LAYOUT_KEY, expected, MUST_NOT_EXIST)
        elif found.value != expected:
            detail = f"it has {found.value[:40]!r} buckets, unlike [ledger] buckets"
            raise LedgerFormatError(LAYOUT_KEY, detail)
        self._has_layout = True

    @inlineCallbacks
    def _load_tail(self, number: int, bucket: _Bucket) -> Generator[Any, Any, None]:
        """Read the tail and those sealed segments that are not loaded yet."""
        name = tail_name(number, self._settings.buckets)
        found = yield self._platform.get(name)
        if found is None:
            bucket.entries, bucket.sealed = {}, []
            bucket.version = MUST_NOT_EXIST
            bucket.is_loaded = True
            return
        segment = decode_segment(name, found.value)
        known = {index.name: index for index in bucket.sealed}
        sealed: list[SealedIndex] = []
        for part in segment.sealed:
            index = known.get(part)
            if index is None:
                index = yield self._load_sealed(part)
            sealed.append(index)
        bucket.entries = {entry.key: entry for entry in segment.entries}
        bucket.sealed = sealed
        bucket.version = found.version
        bucket.is_loaded = True

    @inlineCallbacks
    def _load_sealed(self, name: str) -> Generator[Any, Any, SealedIndex]:
        found = yield self._platform.get(name)
        if found is None:
            raise LedgerFormatError(name, "it is missing")
        return SealedIndex(name, decode_segment(name, found.value))

    @inlineCallbacks
    def _decide_all(
        self,
        bucket: _Bucket,
        batch: list[_PendingRequest],
    ) -> Generator[Any, Any, list[Decision]]:
        """Decide a batch in order; each decision sees the ones before it."""
        now_ms = int(self._wall_clock() * MILLISECONDS_PER_SECOND)
        staged: dict[bytes, wire.LedgerEntry] = {}
        decisions: list[Decision] = []
        for item in batch:
            key = item.request.key
            known = staged.get(key) or bucket.entries.get(key)
            if known is None:
                known = yield self._find_sealed(bucket, key)
            decision = decide(item.request, known, now_ms)
            if decision.entry is not None:
                staged[key] = decision.entry
            decisions.append(decision)
        return decisions

    @inlineCallbacks
    def _find_sealed(
        self,
        bucket: _Bucket,
        key: bytes,
    ) -> Generator[Any, Any, wire.LedgerEntry | None]:
        for index in reversed(bucket.sealed):
            if not index.holds(key):
                continue
            found = yield self._platform.get(index.name)
            if found is None:
                raise LedgerFormatError(index.name, "it is missing")
            segment = decode_segment(index.name, found.value)
            for entry in segment.entries:
                if entry.key == key:
                    return entry
        return None

    @inlineCallbacks
    def _write_decisions(
        self,
        number: int,
        bucket: _Bucket,
        decisions: list[Decision],
    ) -> Generator[Any, Any, None]:
        staged = [d.entry for d in decisions if d.entry is not None]
        if not staged:
            return
        unreferenced: list[SealedIndex] = []
        entries = dict(bucket.entries)
        entries.update({entry.key: entry for entry in staged})
        sealed = list(bucket.sealed)
        if self._is_full(bucket):
            index = yield self._seal(number, bucket)
            sealed = self._retained([*sealed, index])
            unreferenced = [old for old in bucket.sealed if old not in sealed]
            entries = {entry.key: entry for entry in staged}
        names = [index.name for index in sealed]
        segment = wire.LedgerSegment(FORMAT, list(entries.values()), names)
        name = tail_name(number, self._settings.buckets)
        bucket.written_at = self._clock.seconds()
        self._writes += 1
        version = yield self._platform.put(
            name,
            encode_segment(segment),
            bucket.version,
        )
        bucket.version = version
        bucket.entries = entries
        bucket.sealed = sealed
        # Deleted only now, as the tail just stored no longer refers to them.
        for index in unreferenced:
            self._platform.delete(index.name).addErrback(_ignore_outage)

    def _is_full(self, bucket: _Bucket) -> bool:
        if len(bucket.entries) >= self._settings.seal_entries:
            return True
        size = sum(_size_of(entry) for entry in bucket.entries.values())
        return size >= self._settings.seal_bytes

    @inlineCallbacks
    def _seal(self, number: int, bucket: _Bucket) -> Generator[Any, Any, SealedIndex]:
        """Write the current tail as a sealed segment."""
        name = sealed_name(number, self._settings.buckets, bucket.version)
        segment = wire.LedgerSegment(FORMAT, list(bucket.entries.values()), [])
        # A conflict means that another writer sealed this version: same entries.
        with contextlib.suppress(PlatformConflictError):
            yield self._platform.put(name, encode_segment(segment), MUST_NOT_EXIST)
        return SealedIndex(name, segment)

    def _retained(self, sealed: list[SealedIndex]) -> list[SealedIndex]:
        oldest = (
            self._wall_clock() - self._settings.retention
        ) * MILLISECONDS_PER_SECOND
        return [index for index in sealed if index.newest_ms >= oldest]


def _size_of(entry: wire.LedgerEntry) -> int:
    overhead = 64
    return overhead + (len(entry.answer.body) + overhead if entry.answer else 0)


def _ignore_outage(failure: Failure) -> None:
    """Ignore a failed deletion: the segment stays, but no tail refers to it."""
    failure.trap(PlatformError)
