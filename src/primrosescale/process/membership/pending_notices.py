"""Notices of agents' state that are still forwarded through the fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primrosescale.connection.wire import ttypes as wire

MAX_NOTICES = 200


class PendingNotices:
    """Retains the latest notice of each agent while it is to be forwarded.

    Parameters
    ----------
    keep : float
        Seconds for which a notice is forwarded.
    """

    def __init__(self, keep: float) -> None:
        self._keep = keep
        self._notices: dict[str, wire.MemberNotice] = {}
        self._forward_until: dict[str, float] = {}

    def post(self, notice: wire.MemberNotice, now: float) -> bool:
        """Record a notice unless the same or a later one is recorded.

        Parameters
        ----------
        notice : wire.MemberNotice
            The notice.
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether it was recorded.
        """
        known = self._notices.get(notice.name)
        if known is not None and self._forward_until[notice.name] > now:
            if notice.incarnation < known.incarnation:
                return False
            is_same = notice.incarnation == known.incarnation
            if is_same and notice.state == known.state:
                return False
        self._notices[notice.name] = notice
        self._forward_until[notice.name] = now + self._keep
        return True

    def current(self, now: float) -> list[wire.MemberNotice]:
        """Return the notices that are still forwarded.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        list[wire.MemberNotice]
            At most `MAX_NOTICES`.
        """
        for name in [n for n, until in self._forward_until.items() if until <= now]:
            del self._forward_until[name]
            del self._notices[name]
        return list(self._notices.values())[:MAX_NOTICES]
