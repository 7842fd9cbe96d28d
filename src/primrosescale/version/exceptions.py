"""Errors raised for invalid, refused or conflicting versions of configuration."""

from __future__ import annotations

from primrosescale.exceptions import PrimrosescaleError


class VersionError(PrimrosescaleError):
    """Base class of the errors of configuration versions."""


class SectionError(VersionError):
    """A section is malformed, too large or does not match its digest."""

    def __init__(self, digest: str, detail: str) -> None:
        super().__init__(
            f"section {digest[:12]} refused: {detail}",
            "pull it again from another process or from the platform",
        )


class HeadError(VersionError):
    """A head is malformed, lacks a trusted signature or does not match its root."""

    def __init__(self, version: int, detail: str) -> None:
        super().__init__(
            f"head {version} refused: {detail}",
            "roll out a signed bundle with a higher version number",
        )


class ConflictError(VersionError):
    """The head is not the one that a change is based on."""

    def __init__(self, detail: str) -> None:
        super().__init__(
            f"another change came first: {detail}",
            "look at it with 'bundle diff', then create your bundle anew",
        )


class NotAllowedError(VersionError):
    """The operator may not make a change, or its bundle is not signed off."""

    def __init__(self, detail: str) -> None:
        super().__init__(
            detail,
            "ask an operator who holds the role for these teams",
        )


class NotFoundError(VersionError):
    """No bundle, section or administration call has the given name."""

    def __init__(self, name: str) -> None:
        super().__init__(f"no bundle {name}", "list them with 'bundle history'")
