"""Exceptions raised by processes and by clients of the platform."""

from __future__ import annotations

from primrosescale.exceptions import PrimrosescaleError
from primrosescale.process.log_text import escape_for_log


class ProcessError(PrimrosescaleError):
    """Base class of the exceptions of `primrosescale.process`."""


class PlatformError(ProcessError):
    """Base class of failures of the platform's object API."""


class PlatformUnavailableError(PlatformError):
    """The platform refused a call or was unreachable; nothing was changed."""

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
    """The platform no longer retains the changes that a watch asks for."""

    def __init__(self, prefix: str, since: int) -> None:
        super().__init__(
            f"changes of {prefix} since {since} are no longer kept",
            "watch from 0 to read all objects",
        )


class PlatformLimitError(PlatformError):
    """A value is larger than the platform accepts."""

    def __init__(self, key: str, size: int) -> None:
        super().__init__(
            f"object {key} of {size} bytes is over 1 MB",
            "split it",
        )


class UnreadableRecordError(ProcessError):
    """A record in the store cannot be parsed.

    Parameters
    ----------
    record : str
        Key of the record.
    field : str
        The invalid field; empty when the record as a whole is invalid.
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
        """Return the invalid field; empty for the record as a whole."""
        return self._field

    @property
    def reason(self) -> str:
        """Return what is wrong with the record or field."""
        return self._reason


class HostEntryError(ProcessError):
    """An entry of the platform's list of hosts cannot be parsed."""

    def __init__(self, detail: str) -> None:
        super().__init__(
            f"unreadable host entry: {detail}",
            "check which process wrote it; the other entries are applied",
        )


class SettingsError(ProcessError):
    """The settings of a process are invalid."""


class TargetError(ProcessError):
    """A target failed an operation that an agent requested of it."""

    def __init__(self, detail: str) -> None:
        super().__init__(
            f"target failed: {detail}",
            "look at the target's own log",
        )
