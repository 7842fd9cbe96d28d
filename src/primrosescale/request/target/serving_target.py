"""Describes one incarnation of a target as the list of targets gives it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from primrosescale.request.target.target_incarnation import TargetIncarnation

if TYPE_CHECKING:
    from primrosescale.connection.endpoint import Endpoint


@dataclass(frozen=True, slots=True, kw_only=True)
class ServingTarget:
    """One incarnation of a target.

    Parameters
    ----------
    name : str
        Name of the target, which it keeps when it restarts.
    endpoint : Endpoint
        Where it listens; another target may get this address later.
    service : str
        The service it belongs to.
    domain : str
        Its failure domain.
    slots : int
        Requests it can run at once; 0 when not given.
    is_draining : bool
        Whether it is leaving and must get no new requests.
    warm_up_seconds : float
        Seconds for which it is still cold (slow after its start).
    started_at : int | None
        Its start, in Unix milliseconds of its own clock; None when not given.
    software_version : str
        The version of its software; empty when not given.
    """

    name: str
    endpoint: Endpoint
    service: str
    domain: str
    slots: int
    is_draining: bool = False
    warm_up_seconds: float = 0.0
    started_at: int | None = None
    software_version: str = ""

    @property
    def incarnation(self) -> TargetIncarnation:
        """Return the incarnation of the target that this describes."""
        return TargetIncarnation(self.name, self.started_at)
