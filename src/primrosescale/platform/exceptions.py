"""Errors of the adapter to the users' platform."""

from __future__ import annotations

from primrosescale.exceptions import PrimrosescaleError
from primrosescale.process.exceptions import UnreadableRecordError


class AdapterError(PrimrosescaleError):
    """Base of the errors of this package."""


class RecordError(UnreadableRecordError, AdapterError):
    """A record of the platform cannot be read; see `UnreadableRecordError`."""


class BootFileError(AdapterError):
    """The settings file that the platform wrote cannot be used."""

    def __init__(self, path: str, detail: str) -> None:
        super().__init__(
            f"settings file {path or '(none named)'}: {detail}",
            "compare it with docs/platform-settings.md",
        )
