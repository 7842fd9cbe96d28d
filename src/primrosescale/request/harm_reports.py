"""What a router sees of requests and the ends of targets, and tells others."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TargetEnd:
    """That a target ended with a request on board.

    Parameters
    ----------
    fingerprint : int
        What the request asked for.
    target : int
        Short name of the target's incarnation.
    at : float
        When it was seen, in seconds.
    was_answered : bool
        Whether the target had answered the request whole just before.
    """

    fingerprint: int
    target: int
    at: float
    was_answered: bool = False


@dataclass(frozen=True, slots=True)
class CompleteAnswer:
    """That a request was answered whole.

    Parameters
    ----------
    fingerprint : int
        What the request asked for.
    at : float
        When, in seconds.
    """

    fingerprint: int
    at: float


@dataclass(frozen=True, slots=True)
class SuspectTrial:
    """That a suspect request was sent to a target.

    Parameters
    ----------
    fingerprint : int
        What the request asked for.
    at : float
        When, in seconds.
    """

    fingerprint: int
    at: float


HarmReport = TargetEnd | CompleteAnswer | SuspectTrial
