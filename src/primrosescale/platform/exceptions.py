"""Errors of the adapter to the users' platform."""

from __future__ import annotations

from primrosescale.exceptions import PrimrosescaleError


class AdapterError(PrimrosescaleError):
    """Base of the errors of this package."""


class RecordError(AdapterError):
    """A record of the platform cannot be read."""

    def __init__(self, record: str, detail: str) -> None:
        super().__init__(
            f"record {record} cannot be read: {detail}",
            "mend it in the store; the last good one stays in force",
        )


class BootFileError(AdapterError):
    """The settings file that the platform wrote cannot be used."""

    def __init__(self, path: str, detail: str) -> None:
        super().__init__(
            f"settings file {path or '(none named)'}: {detail}",
            "compare it with docs/platform-settings.md",
        )
