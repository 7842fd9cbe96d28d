"""Loads of targets on their way into news of routers and out of them."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from primrosescale.connection.wire import ttypes as wire
from primrosescale.process.entry.load_sum import LoadSum
from primrosescale.process.entry.target_keys import TargetKeys
from primrosescale.process.entry.target_keys import target_key

if TYPE_CHECKING:
    from collections.abc import Iterable

    from primrosescale.process.entry.target_list import TargetList
    from primrosescale.request.target_state import TargetState

# Datagrams stay under what every link carries in one piece.
MOST_TARGETS = 40
# The same in sums, which are told by name only while two routers know other
# targets.
MOST_SUMMED_TARGETS = 70
# Failures that are worth telling.
LEAST_TOLD = 0.05
# A router that sees more than half of its requests fail everywhere has a
# trouble of its own and is no witness.
WITNESS_MOST_FAILURES = 0.5
# Largest number of requests that a byte tells.
MOST_IN_A_BYTE = 255
# Loads of so many targets are deflated: 370 bytes become 210, in 20 us.
LEAST_PACKED = 128
PACKED_SHARE = 0.6
FASTEST = 1
# Bytes of a message without loads and parts.
USUAL_HEAD = 50
PERCENT = 100
MILLISECONDS_PER_SECOND = 1000


class LoadCodec:
    """Writes and reads the loads in news.

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
        """Return the short names of targets."""
        return self._keys

    @property
    def usual_bytes(self) -> float:
        """Return the bytes that a message with a sum usually has."""
        targets = len(self._keys.order)
        share = PACKED_SHARE if targets >= LEAST_PACKED else 1.0
        return USUAL_HEAD + targets * share

    def own_news(self, now: float) -> list[wire.TargetNews]:
        """Return what this router has at targets, the most loaded ones first.

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
        # The bound concerns the most loaded ones; failures come after them.
        states.sort(key=lambda state: (-state.own_running, -state.outcomes(now)[1]))
        return [_target_news(state, now) for state in states[:MOST_TARGETS]]

    def own_sum(self, now: float, *, reaches_store: bool) -> LoadSum:
        """Return what this router has at targets.

        Parameters
        ----------
        now : float
            Present time in seconds.
        reaches_store : bool
            Whether the store answered its last question.

        Returns
        -------
        LoadSum
            Of this router alone.
        """
        own = LoadSum(now, 1, reaches_store=reaches_store)
        for key, state in self._keys.states.items():
            if state.own_running:
                own.running[key] = state.own_running
            good, bad = state.outcomes(now)
            if bad > LEAST_TOLD:
                own.outcomes[key] = (good, bad)
        return own

    def write(
        self,
        loads: LoadSum,
        message: wire.RouterNews,
        receiver_digest: int | None,
        now: float,
    ) -> None:
        """Put a sum into a message.

        Parameters
        ----------
        loads : LoadSum
            The sum.
        message : wire.RouterNews
            The message.
        receiver_digest : int | None
            Of the targets that its receiver knows; None when not told.
        now : float
            Present time in seconds.
        """
        if receiver_digest == self._keys.digest:
            told = bytes(
                min(MOST_IN_A_BYTE, loads.running.get(key, 0))
                for key in self._keys.order
            )
            message.is_packed = len(told) >= LEAST_PACKED or None
            message.running = (
                zlib.compress(told, FASTEST) if message.is_packed else told
            )
            named = dict.fromkeys(loads.outcomes, 0)
        else:
            named = loads.running | {
                key: loads.running.get(key, 0) for key in loads.outcomes
            }
        keys = sorted(named, key=lambda key: -named[key])[:MOST_SUMMED_TARGETS]
        message.targets = [_summed(key, named[key], loads) for key in keys]
        message.targets_digest = self._keys.digest
        message.age_ms = round((now - loads.known_at) * MILLISECONDS_PER_SECOND)
        message.routers = loads.routers
        message.store_lost = not loads.reaches_store

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
            None where it is in the order of other targets than are known here.
        """
        known_at = now - (message.age_ms or 0) / MILLISECONDS_PER_SECOND
        routers = 1 if message.routers is None else message.routers
        loads = LoadSum(known_at, routers, reaches_store=not message.store_lost)
        if message.running is not None:
            if message.targets_digest != self._keys.digest:
                return None
            told = _unpacked(message, len(self._keys.order))
            if len(told) != len(self._keys.order):
                return None
            pairs = zip(self._keys.order, told, strict=True)
            loads.running = {key: running for key, running in pairs if running}
        else:
            loads.running = {
                item.target: item.running for item in message.targets if item.running
            }
        loads.outcomes = told_outcomes(message.targets)
        return loads


def _unpacked(message: wire.RouterNews, most: int) -> bytes:
    """Return the loads in a message, hardly more of them than there can be."""
    told = message.running or b""
    if not message.is_packed:
        return told
    try:
        return zlib.decompressobj().decompress(told, most + 1)
    except zlib.error:
        return b""


def told_outcomes(
    targets: Iterable[wire.TargetNews],
) -> dict[int, tuple[float, float]]:
    """Return good and bad outcomes by the targets' short names.

    Parameters
    ----------
    targets : Iterable[wire.TargetNews]
        What a router tells of targets.

    Returns
    -------
    dict[int, tuple[float, float]]
        Empty for a router that is no witness.
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
    return found if bad <= WITNESS_MOST_FAILURES * (good + bad) else {}


def _has_outcomes(state: TargetState, now: float) -> bool:
    """Tell whether there are outcomes that would be seen after rounding."""
    good, bad = state.outcomes(now)
    return bad > LEAST_TOLD or round(good) > 0


def _target_news(state: TargetState, now: float) -> wire.TargetNews:
    """Return what a router tells of a target.

    Good outcomes are told without failures too: by those of one router a single
    failure would look like a target that often fails.
    """
    good, bad = state.outcomes(now)
    news = wire.TargetNews(target_key(*state.incarnation), state.own_running)
    if bad > LEAST_TOLD:
        news.good_percent = round(good * PERCENT)
        news.bad_percent = round(bad * PERCENT)
    elif round(good):
        news.good = min(MOST_IN_A_BYTE, round(good))
    return news


def _summed(key: int, running: int, loads: LoadSum) -> wire.TargetNews:
    outcomes = loads.outcomes.get(key)
    if outcomes is None:
        return wire.TargetNews(key, running)
    good, bad = outcomes
    return wire.TargetNews(key, running, round(good * PERCENT), round(bad * PERCENT))
