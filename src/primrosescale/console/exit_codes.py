"""Exit codes of the command line."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Results of a command."""

    OK = 0
    FAILED = 1
    USAGE = 2
    BAD_SETTINGS = 3
    REFUSED = 4
    UNREACHABLE = 5
    INVARIANT_BROKEN = 6
