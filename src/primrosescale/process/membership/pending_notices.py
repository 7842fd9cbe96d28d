"""News of agents on its way through the fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primrosescale.connection.wire import ttypes as wire

NOTICES_LIMIT = 200


class PendingNotices:
    """News of agents that is still passed on.

    Parameters
    ----------
    keep : float
        Seconds for which news is passed on.
    """

    def __init__(self, keep: float) -> None:
        self._keep = keep
        self._notices: dict[str, wire.MemberNotice] = {}
        self._until: dict[str, float] = {}

    def post(self, notice: wire.MemberNotice, now: float) -> bool:
        """Take in news unless it is known or older than what is known.

        Parameters
        ----------
        notice : wire.MemberNotice
            The news.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether it was new.
        """
        known = self._notices.get(notice.name)
        if known is not None and self._until[notice.name] > now:
            if notice.incarnation < known.incarnation:
                return False
            is_same = notice.incarnation == known.incarnation
            if is_same and notice.state == known.state:
                return False
        self._notices[notice.name] = notice
        self._until[notice.name] = now + self._keep
        return True

    def current(self, now: float) -> list[wire.MemberNotice]:
        """Return the news still passed on.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        list[wire.MemberNotice]
            At most `NOTICES_LIMIT`.
        """
        for name in [n for n, until in self._until.items() if until <= now]:
            del self._until[name]
            del self._notices[name]
        return list(self._notices.values())[:NOTICES_LIMIT]
