"""Defines what routers report to each other about requests that may be harmful."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TargetEnd:
    """Reports that a target ended while it ran a request.

    Parameters
    ----------
    fingerprint : int
        Fingerprint of the request's content.
    target : int
        Key of the target's incarnation.
    at : float
        When it was detected, in seconds.
    was_answered : bool
        Whether the target had completely answered the request just before.
    parts : tuple[int, ...]
        Fingerprints of parts of its prompt, if the answer had not begun long before.
    is_late : bool
        Whether it counts only against parts of the prompt that no target is known to
        have survived, and not against the content.
    """

    fingerprint: int
    target: int
    at: float
    was_answered: bool = False
    parts: tuple[int, ...] = ()
    is_late: bool = False


@dataclass(frozen=True, slots=True)
class CompleteAnswer:
    """Reports that a request was answered completely.

    Parameters
    ----------
    fingerprint : int
        Fingerprint of the request's content.
    at : float
        When, in seconds.
    """

    fingerprint: int
    at: float


@dataclass(frozen=True, slots=True)
class PartsAnswered:
    """Reports that a target went on answering a prompt.

    Parameters
    ----------
    parts : tuple[int, ...]
        Fingerprints of the parts of the prompt.
    at : float
        When, in seconds.
    is_lasting : bool
        Whether the target is known to have survived the parts. Otherwise it may still
        end under them.
    """

    parts: tuple[int, ...]
    at: float
    is_lasting: bool = False


@dataclass(frozen=True, slots=True)
class SuspectTrial:
    """Reports that a suspect request was sent to a target as a trial.

    Parameters
    ----------
    fingerprint : int
        Fingerprint of the request's content.
    at : float
        When, in seconds.
    parts : tuple[int, ...]
        Fingerprints of the suspect parts of its prompt.
    """

    fingerprint: int
    at: float
    parts: tuple[int, ...] = ()


HarmReport = TargetEnd | CompleteAnswer | PartsAnswered | SuspectTrial
