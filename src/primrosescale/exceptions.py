"""Base class of the package's exceptions."""

from __future__ import annotations


class PrimrosescaleError(Exception):
    """Base class of all exceptions that the package defines.

    Parameters
    ----------
    problem : str
        What is wrong, in one clause.
    remedy : str
        What the reader can do about it, in one clause.
    """

    def __init__(self, problem: str, remedy: str) -> None:
        super().__init__(f"{problem}; {remedy}")
        self._problem = problem
        self._remedy = remedy

    @property
    def problem(self) -> str:
        """Return what is wrong."""
        return self._problem

    @property
    def remedy(self) -> str:
        """Return what the reader can do about it."""
        return self._remedy
