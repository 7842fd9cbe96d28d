"""Pauses in reading large answers, so that other traffic gets a share of the link.

A router that reads 500 kB over a link of 5 Mbit/s at full speed delays the events of
its streams for 0.8 s.
"""

from __future__ import annotations

# Bytes read between two pauses. An answer of at most this size is read without one.
PORTION_BYTES = 16 * 1024
# Share of the link's rate that large answers may use together.
LINK_SHARE = 2 / 3
# A link that receives a portion in less time is not paced: other traffic hardly waits.
MIN_PORTION_SECONDS = 0.002
# Used if no time is given after which an answer is read without pauses.
DEFAULT_MAX_PACED_SECONDS = 1.0


class LinkPacing:
    """Divides the rate of a link between large answers and other traffic.

    Parameters
    ----------
    link_rate : float | None
        Rate of the link in bytes a second; None if it is not known.
    max_seconds : float
        Seconds after which the rest of an answer is read without pauses, so that
        what it contains takes effect in time.
    """

    __slots__ = ("_free_at", "_link_rate", "_max_seconds")

    def __init__(
        self,
        link_rate: float | None = None,
        max_seconds: float = DEFAULT_MAX_PACED_SECONDS,
    ) -> None:
        self._link_rate = link_rate
        self._max_seconds = max_seconds
        # When the bytes read so far have used up their share of the link.
        self._free_at = 0.0

    @property
    def is_active(self) -> bool:
        """Return whether large answers are read with pauses."""
        if self._link_rate is None:
            return False
        return PORTION_BYTES / self._link_rate >= MIN_PORTION_SECONDS

    @property
    def max_seconds(self) -> float:
        """Return the seconds after which an answer is read without pauses."""
        return self._max_seconds

    def configure(self, link_rate: float | None, max_seconds: float) -> None:
        """Replace the rate of the link and the time limit.

        Parameters
        ----------
        link_rate : float | None
            Rate in bytes a second; None if it is not known.
        max_seconds : float
            Seconds after which an answer is read without pauses.
        """
        self._link_rate = link_rate
        self._max_seconds = max_seconds
        self._free_at = 0.0

    def pause_after(self, count: int, now: float) -> float:
        """Return for how long to pause after reading bytes of a large answer.

        Parameters
        ----------
        count : int
            Number of bytes read since the last pause.
        now : float
            Present time in seconds.

        Returns
        -------
        float
            Seconds; 0 for no pause.
        """
        if self._link_rate is None or not self.is_active:
            return 0.0
        # The bytes occupied the link before now; that time is not paused again.
        began_at = max(self._free_at, now - count / self._link_rate)
        self._free_at = began_at + count / (LINK_SHARE * self._link_rate)
        return max(0.0, self._free_at - now)


class AnswerPacing:
    """Decides about the pauses in reading one answer.

    Parameters
    ----------
    link : LinkPacing
        Pacing of the link, which all answers share.
    began_at : float
        When reading the answer began, in seconds.
    """

    __slots__ = ("_began_at", "_link", "_received", "_since_pause")

    def __init__(self, link: LinkPacing, began_at: float) -> None:
        self._link = link
        self._began_at = began_at
        self._received = 0
        self._since_pause = 0

    @property
    def is_large(self) -> bool:
        """Return whether more than a portion has been received."""
        return self._received > PORTION_BYTES

    def pause_after(self, count: int, now: float) -> float:
        """Record bytes received; return for how long to pause.

        Parameters
        ----------
        count : int
            Number of bytes.
        now : float
            Present time in seconds.

        Returns
        -------
        float
            Seconds; 0 for no pause.
        """
        self._received += count
        self._since_pause += count
        time_left = self._began_at + self._link.max_seconds - now
        is_portion = self.is_large and self._since_pause >= PORTION_BYTES
        if not is_portion or time_left <= 0:
            return 0.0
        since_pause, self._since_pause = self._since_pause, 0
        return min(time_left, self._link.pause_after(since_pause, now))

    def read_seconds(self, now: float) -> float:
        """Return for how long a large answer has been read.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        float
            Seconds; 0 for a small answer.
        """
        return now - self._began_at if self.is_large else 0.0
