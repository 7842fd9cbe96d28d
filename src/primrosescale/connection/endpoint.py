"""Where a process listens."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Where a process listens.

    Parameters
    ----------
    address : str
        IP number.
    port : int
        TCP port.
    """

    address: str
    port: int

    def __str__(self) -> str:
        """Return ``address:port``."""
        return f"{self.address}:{self.port}"
