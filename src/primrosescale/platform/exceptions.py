"""Exceptions of the adapter to the users' platform."""

from __future__ import annotations

from primrosescale.exceptions import PrimrosescaleError
from primrosescale.process.exceptions import UnreadableRecordError


class AdapterError(PrimrosescaleError):
    """Base class of the exceptions of this package."""


class RecordError(UnreadableRecordError, AdapterError):
    """A record of the platform's store is invalid; see `UnreadableRecordError`."""


class SettingsFileError(AdapterError):
    """The settings file that the platform writes is missing or invalid."""

    def __init__(self, path: str, detail: str) -> None:
        super().__init__(
            f"settings file {path or '(none given)'}: {detail}",
            "compare it with docs/platform-settings.md",
        )
