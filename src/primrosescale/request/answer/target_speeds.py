"""How fast each target begins its answers, beside the others of the same routes.

Targets of one service differ in speed. A slow one that answers as it always does has
not failed; it is the better choice only while others have more to do.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from primrosescale.request.answer.time_estimate import TimeEstimate

if TYPE_CHECKING:
    from primrosescale.request.target.target_incarnation import TargetIncarnation

# Time in which what was measured of a target loses half of its influence, so that one
# that has become fast again is asked again.
SPEED_HALF_LIFE_SECONDS = 2.0
# Smaller differences are chance. If they counted, the target that seems to be fastest
# would get all requests while targets have little to do.
SIGNIFICANT_MULTIPLE = 1.5
# One answer tells no more than this of a target; its caller or a fault may have cut it.
MIN_MULTIPLE = 0.1
MAX_MULTIPLE = 10.0
# A bound on the memory only.
MAX_TARGETS = 16_384


class _Speed:
    """Times of one target as multiples of those usual for their routes."""

    __slots__ = ("estimate", "measured_at")

    def __init__(self, multiple: float, now: float) -> None:
        self.estimate = TimeEstimate(multiple)
        self.measured_at = now


class TargetSpeeds:
    """Speeds of the targets that answered last."""

    __slots__ = ("_by_target",)

    def __init__(self) -> None:
        self._by_target: OrderedDict[TargetIncarnation, _Speed] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of targets of which the speed is known."""
        return len(self._by_target)

    def record(self, target: TargetIncarnation, multiple: float, now: float) -> None:
        """Record an answer.

        Parameters
        ----------
        target : TargetIncarnation
            The target.
        multiple : float
            Time to the first byte, as a multiple of the mean of its route.
        now : float
            Current time in seconds.
        """
        multiple = min(MAX_MULTIPLE, max(MIN_MULTIPLE, multiple))
        known = self._by_target.get(target)
        if known is not None:
            known.estimate.add(multiple)
            known.measured_at = now
            self._by_target.move_to_end(target)
            return
        self._by_target[target] = _Speed(multiple, now)
        if len(self._by_target) > MAX_TARGETS:
            self._by_target.popitem(last=False)

    def usual(self, target: TargetIncarnation) -> float:
        """Return what few answers of a target exceed.

        Parameters
        ----------
        target : TargetIncarnation
            The target.

        Returns
        -------
        float
            A multiple of the mean of a route; 0 for a target without answers.
        """
        known = self._by_target.get(target)
        return 0.0 if known is None else known.estimate.usual

    def slowness(self, target: TargetIncarnation, now: float) -> float:
        """Return by how much a target is expected to be slower than others.

        Parameters
        ----------
        target : TargetIncarnation
            The target.
        now : float
            Current time in seconds.

        Returns
        -------
        float
            A factor, at least 1; 1 also for a target without recent answers.
        """
        known = self._by_target.get(target)
        if known is None or known.estimate.mean <= SIGNIFICANT_MULTIPLE:
            return 1.0
        age = max(0.0, now - known.measured_at)
        recent: float = 0.5 ** (age / SPEED_HALF_LIFE_SECONDS)
        return 1.0 + (known.estimate.mean - 1.0) * recent
