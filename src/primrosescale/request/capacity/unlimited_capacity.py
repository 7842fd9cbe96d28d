"""Capacity without a limit, for routers without overload control."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primrosescale.request.capacity.capacity_view import CapacityView

if TYPE_CHECKING:
    from primrosescale.request.capacity.capacity_view import Allowance


class UnlimitedCapacity(CapacityView):
    """Capacity view under which overload control is never in force."""

    def is_in_force(self, service: str) -> bool:
        """Return False; see `CapacityView.is_in_force`."""
        return False

    def allowance(self, service: str, waiting: int, now: float) -> Allowance | None:
        """Return None; see `CapacityView.allowance`."""
        return None

    def answer_time(self, service: str) -> float | None:
        """Return None; see `CapacityView.answer_time`."""
        return None
