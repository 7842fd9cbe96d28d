"""Errors of the stand-ins."""

from __future__ import annotations

from primrosescale.exceptions import PrimrosescaleError


class StandInError(PrimrosescaleError):
    """A stand-in or the demo deployment could not do what was requested."""
