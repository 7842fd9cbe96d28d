"""Errors of processes and of the platform."""

from __future__ import annotations

from primrosescale.exceptions import PrimrosescaleError
from primrosescale.process.log_text import escape_for_log


class ProcessError(PrimrosescaleError):
    """Base of the errors of this package."""


class PlatformError(ProcessError):
    """Base of the errors of the platform's object API."""


class PlatformUnavailableError(PlatformError):
    """The platform refused or could not be reached; nothing was changed."""

    def __init__(self, detail: str) -> None:
        super().__init__(
            f"platform unavailable: {detail}",
            "try again; chats and idempotent requests go on meanwhile",
        )


class PlatformAnswerLostError(PlatformError):
    """The platform's answer was lost; a write may have taken effect."""

    def __init__(self, detail: str) -> None:
        super().__init__(
            f"platform's answer was lost: {detail}",
            "read the object back before deciding",
        )


class PlatformConflictError(PlatformError):
    """A conditional update named a version that is not the current one."""

    def __init__(self, key: str, current: int) -> None:
        super().__init__(
            f"object {key} is at version {current}",
            "read it and decide anew",
        )
        self._current = current

    @property
    def current(self) -> int:
        """Return the object's version; 0 when it does not exist."""
        return self._current


class PlatformHistoryGoneError(PlatformError):
    """The platform no longer keeps the changes that a watch asks for."""

    def __init__(self, prefix: str, since: int) -> None:
        super().__init__(
            f"changes of {prefix} since {since} are no longer kept",
            "watch from 0 to read all objects",
        )


class PlatformLimitError(PlatformError):
    """A value is larger than the platform takes."""

    def __init__(self, key: str, size: int) -> None:
        super().__init__(
            f"object {key} of {size} bytes is over 1 MB",
            "split it",
        )


class UnreadableRecordError(ProcessError):
    """A record of the store cannot be read.

    Parameters
    ----------
    record : str
        Its key.
    field : str
        The field at fault; empty for the record as a whole.
    reason : str
        What is wrong with it, in one clause.
    remedy : str
        What the reader can do about it.
    """

    def __init__(self, record: str, field: str, reason: str, remedy: str) -> None:
        at = f"field {field}: " if field else ""
        problem = f"record {escape_for_log(record)} cannot be read: {at}{reason}"
        super().__init__(problem, remedy)
        self._field = field
        self._reason = reason

    @property
    def field(self) -> str:
        """Return the field at fault; empty for the record as a whole."""
        return self._field

    @property
    def reason(self) -> str:
        """Return what is wrong with it."""
        return self._reason


class HostEntryError(ProcessError):
    """An entry of the platform's list of hosts cannot be read."""

    def __init__(self, detail: str) -> None:
        super().__init__(
            f"unreadable host entry: {detail}",
            "see who wrote it; the entries beside it hold",
        )


class SettingsError(ProcessError):
    """The settings of a process cannot be used."""


class TargetError(ProcessError):
    """A target did not do what it was asked."""

    def __init__(self, detail: str) -> None:
        super().__init__(
            f"target failed: {detail}",
            "look at the target's own log",
        )
