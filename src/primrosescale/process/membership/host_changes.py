"""Log of recent changes of the platform's list of hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primrosescale.connection.wire import ttypes as wire

MAX_CHANGES_PER_MESSAGE = 200
MAX_CHANGES_KEPT = 4000


class HostChanges:
    """Retains recent changes of the list, to send to routers that lag behind."""

    def __init__(self) -> None:
        self._entries: list[wire.HostEntry] = []
        self._complete_since = 0
        self._version = 0

    def record(
        self,
        entries: list[wire.HostEntry],
        version: int,
        *,
        is_full: bool,
    ) -> None:
        """Record changes of the list.

        Parameters
        ----------
        entries : list[wire.HostEntry]
            Changed entries.
        version : int
            Version of the list that includes them.
        is_full : bool
            Whether they are the complete list.
        """
        if is_full:
            self._entries = []
            self._complete_since = version
        else:
            self._entries.extend(entries)
            excess = len(self._entries) - MAX_CHANGES_KEPT
            if excess > 0:
                self._complete_since = self._entries[excess - 1].version
                del self._entries[:excess]
        self._version = version

    def since(self, version: int) -> list[wire.HostEntry] | None:
        """Return the earliest changes after a version.

        Parameters
        ----------
        version : int
            Version of the list that the other router has.

        Returns
        -------
        list[wire.HostEntry] | None
            At most `MAX_CHANGES_PER_MESSAGE`; None when they are no longer retained.
        """
        if version < self._complete_since:
            return None
        newer = [entry for entry in self._entries if entry.version > version]
        return newer[:MAX_CHANGES_PER_MESSAGE]

    @property
    def version(self) -> int:
        """Return the latest version of the list."""
        return self._version
