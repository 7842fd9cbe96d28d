"""The address and port on which a process listens."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Endpoint:
    """The address and port on which a process listens.

    Parameters
    ----------
    address : str
        IP address.
    port : int
        TCP port.
    """

    address: str
    port: int

    def __str__(self) -> str:
        """Return ``address:port``."""
        return f"{self.address}:{self.port}"
