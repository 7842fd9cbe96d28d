"""Encodes the load of targets into messages between routers and decodes it."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from primrosescale.connection.wire import ttypes as wire
from primrosescale.connection.wire.ttypes import NewsScope
from primrosescale.process.entry.load_sum import LoadSum
from primrosescale.process.entry.target_keys import TargetKeys
from primrosescale.process.entry.target_keys import target_key

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from primrosescale.process.entry.target_list import TargetList
    from primrosescale.request.target.target_state import TargetState

# Keeps datagrams below the size at which links fragment them.
MAX_TARGETS = 40
# The same for sums, which contain the keys of targets only while sender and receiver
# know different targets.
MAX_SUMMED_TARGETS = 70
# Smallest decayed count of failures that is sent.
MIN_REPORTED_FAILURES = 0.05
# A router that sees more than half of its requests fail over all targets probably has a
# fault of its own, so the outcomes that it reports are ignored.
MAX_RELIABLE_FAILURE_SHARE = 0.5
# Largest number of requests that fits into a byte.
MAX_BYTE_COUNT = 255
# From this many targets on, loads are deflated: 370 bytes become 210, in 20 us.
MIN_DEFLATED_TARGETS = 128
DEFLATED_SIZE_RATIO = 0.6
FASTEST_ZLIB_LEVEL = 1
# Services for which a message contains the number of waiting requests: 8 bytes each.
MAX_WAITING_SERVICES = 16
# Largest number of waiting requests of one router that is believed; a router that
# reports more is faulty.
MAX_WAITING_PER_ROUTER = 4096
# Largest number of routers that a sum is believed to count, so that no sum of believed
# numbers of waiting requests exceeds 32 bits on the wire.
MAX_COUNTED_ROUTERS = 4096
# Bytes of a message without loads and prompt parts.
TYPICAL_HEADER_BYTES = 50
PERCENT = 100
MILLISECONDS_PER_SECOND = 1000


class LoadCodec:
    """Encodes and decodes the load of targets in state updates.

    Parameters
    ----------
    targets : TargetList
        Targets and their states.
    """

    def __init__(self, targets: TargetList) -> None:
        self._targets = targets
        self._keys = TargetKeys(targets)

    @property
    def keys(self) -> TargetKeys:
        """Return the keys of targets."""
        return self._keys

    @property
    def typical_bytes(self) -> float:
        """Return the typical size in bytes of a message with a sum."""
        targets = len(self._keys.order)
        share = DEFLATED_SIZE_RATIO if targets >= MIN_DEFLATED_TARGETS else 1.0
        return TYPICAL_HEADER_BYTES + targets * share

    def own_targets(self, now: float) -> list[wire.TargetNews]:
        """Return this router's own load at targets, the most loaded ones first.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        list[wire.TargetNews]
            As many as fit into a datagram.
        """
        states = [
            state
            for state in self._targets.states
            if state.own_running or _has_outcomes(state, now)
        ]
        # The limit keeps the most loaded targets; those with failures come next.
        states.sort(key=lambda state: (-state.own_running, -state.outcomes(now)[1]))
        return [_target_update(state, now) for state in states[:MAX_TARGETS]]

    def own_load(
        self, waiting: dict[int, int], now: float, *, reaches_store: bool
    ) -> LoadSum:
        """Return this router's own load as a sum.

        Parameters
        ----------
        waiting : dict[int, int]
            Requests that wait in this router, by the key of their service.
        now : float
            Present time in seconds.
        reaches_store : bool
            Whether the store answered the last request.

        Returns
        -------
        LoadSum
            The sum over this router alone.
        """
        own = LoadSum(now, 1, reaches_store=reaches_store)
        own.waiting = waiting
        for key, state in self._keys.states.items():
            if state.own_running:
                own.running[key] = state.own_running
            good, bad = state.outcomes(now)
            if bad > MIN_REPORTED_FAILURES:
                own.outcomes[key] = (good, bad)
        return own

    def write(
        self,
        loads: LoadSum,
        message: wire.RouterNews,
        receiver_digest: int | None,
        now: float,
    ) -> None:
        """Write a sum into a message.

        Parameters
        ----------
        loads : LoadSum
            The sum.
        message : wire.RouterNews
            The message.
        receiver_digest : int | None
            Digest of the targets that the receiver knows; None if not reported.
        now : float
            Present time in seconds.
        """
        if receiver_digest == self._keys.digest:
            counts = bytes(
                min(MAX_BYTE_COUNT, loads.running.get(key, 0))
                for key in self._keys.order
            )
            message.is_packed = len(counts) >= MIN_DEFLATED_TARGETS or None
            message.running = (
                zlib.compress(counts, FASTEST_ZLIB_LEVEL)
                if message.is_packed
                else counts
            )
            named = dict.fromkeys(loads.outcomes, 0)
        else:
            named = loads.running | {
                key: loads.running.get(key, 0) for key in loads.outcomes
            }
        keys = sorted(named, key=lambda key: -named[key])[:MAX_SUMMED_TARGETS]
        message.targets = [_target_sum(key, named[key], loads) for key in keys]
        message.targets_digest = self._keys.digest
        message.age_ms = round((now - loads.known_at) * MILLISECONDS_PER_SECOND)
        message.routers = loads.routers
        message.store_lost = not loads.reaches_store
        message.waiting = most_waiting(loads.waiting) or None

    def read(self, message: wire.RouterNews, now: float) -> LoadSum | None:
        """Return the sum in a message.

        Parameters
        ----------
        message : wire.RouterNews
            The message.
        now : float
            Present time in seconds.

        Returns
        -------
        LoadSum | None
            None if the loads cannot be assigned to targets: they are in the order of
            the sender's list of targets, which differs from the one known here.
        """
        known_at = now - (message.age_ms or 0) / MILLISECONDS_PER_SECOND
        routers = 1 if message.routers is None else message.routers
        loads = LoadSum(known_at, routers, reaches_store=not message.store_lost)
        loads.waiting = _believed_waiting(message)
        if message.running is not None:
            if message.targets_digest != self._keys.digest:
                return None
            counts = _inflated(message, len(self._keys.order))
            if len(counts) != len(self._keys.order):
                return None
            pairs = zip(self._keys.order, counts, strict=True)
            loads.running = {key: running for key, running in pairs if running}
        else:
            loads.running = {
                item.target: item.running for item in message.targets if item.running
            }
        loads.outcomes = reported_outcomes(message.targets)
        return loads


def most_waiting(waiting: Mapping[int, int]) -> dict[int, int]:
    """Return the numbers of waiting requests to send.

    Parameters
    ----------
    waiting : Mapping[int, int]
        Waiting requests by the key of their service.

    Returns
    -------
    dict[int, int]
        Those of the services with the most, as many as fit into a message.
    """
    counted = [(key, count) for key, count in waiting.items() if count > 0]
    counted.sort(key=lambda item: -item[1])
    limit = MAX_WAITING_PER_ROUTER * MAX_COUNTED_ROUTERS
    return {key: min(count, limit) for key, count in counted[:MAX_WAITING_SERVICES]}


def _believed_waiting(message: wire.RouterNews) -> dict[int, int]:
    """Return the numbers of waiting requests in a message, without impossible ones."""
    if not message.waiting:
        return {}
    routers = 1
    if message.scope not in {None, NewsScope.ROUTER}:
        routers = max(1, min(message.routers or 1, MAX_COUNTED_ROUTERS))
    limit = MAX_WAITING_PER_ROUTER * routers
    believed = most_waiting(message.waiting)
    return {key: min(count, limit) for key, count in believed.items()}


def _inflated(message: wire.RouterNews, max_count: int) -> bytes:
    """Return the loads in a message, one byte per target.

    At most one byte more than `max_count` is inflated, which suffices to detect a
    message that is too long.
    """
    counts = message.running or b""
    if not message.is_packed:
        return counts
    try:
        return zlib.decompressobj().decompress(counts, max_count + 1)
    except zlib.error:
        return b""


def reported_outcomes(
    targets: Iterable[wire.TargetNews],
) -> dict[int, tuple[float, float]]:
    """Return successes and failures by the targets' keys.

    Parameters
    ----------
    targets : Iterable[wire.TargetNews]
        What a router reports on targets.

    Returns
    -------
    dict[int, tuple[float, float]]
        Empty if the router's reports are unreliable, since most of its requests fail.
    """
    found = {
        item.target: (
            item.good or (item.good_percent or 0) / PERCENT,
            (item.bad_percent or 0) / PERCENT,
        )
        for item in targets
        if item.bad_percent is not None or item.good is not None
    }
    good = sum(outcomes[0] for outcomes in found.values())
    bad = sum(outcomes[1] for outcomes in found.values())
    return found if bad <= MAX_RELIABLE_FAILURE_SHARE * (good + bad) else {}


def _has_outcomes(state: TargetState, now: float) -> bool:
    """Return whether any outcome is still visible after rounding."""
    good, bad = state.outcomes(now)
    return bad > MIN_REPORTED_FAILURES or round(good) > 0


def _target_update(state: TargetState, now: float) -> wire.TargetNews:
    """Return this router's report on a target.

    Successes are sent even without failures: otherwise a single failure among many
    requests of one router would make the target look unreliable.
    """
    good, bad = state.outcomes(now)
    report = wire.TargetNews(target_key(*state.incarnation), state.own_running)
    if bad > MIN_REPORTED_FAILURES:
        report.good_percent = round(good * PERCENT)
        report.bad_percent = round(bad * PERCENT)
    elif round(good):
        report.good = min(MAX_BYTE_COUNT, round(good))
    return report


def _target_sum(key: int, running: int, loads: LoadSum) -> wire.TargetNews:
    outcomes = loads.outcomes.get(key)
    if outcomes is None:
        return wire.TargetNews(key, running)
    good, bad = outcomes
    return wire.TargetNews(key, running, round(good * PERCENT), round(bad * PERCENT))
