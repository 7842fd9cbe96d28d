"""Errors of the command line."""

from __future__ import annotations

from primrosescale.exceptions import PrimrosescaleError


class UsageError(PrimrosescaleError):
    """A command was called with wrong arguments."""


class RefusedByApiError(PrimrosescaleError):
    """The administration API refused a request."""


class UnreachableError(PrimrosescaleError):
    """The administration API could not be reached."""
