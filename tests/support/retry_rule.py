"""Judges the retries of all routers together by the bound that they share."""

from __future__ import annotations

from bisect import bisect_left
from bisect import bisect_right


def worst_excess(requests, retries, limits):
    """Return by how much retries exceed the bound in the worst window; 0 if in none."""
    windows = _windows(requests, retries, limits)
    return max(
        (found - allowed for found, allowed in windows if found > allowed), default=0
    )


def largest_used_share(requests, retries, limits):
    """Return the largest share of the bound that is used in any window."""
    windows = _windows(requests, retries, limits)
    return max((found / allowed for found, allowed in windows), default=0)


def _windows(requests, retries, limits):
    """Yield how many retries each window has, and how many are allowed there.

    The requests are those of the window, of the one before it or of the one half a
    window before it, whichever has most. Both lists of times are sorted. Windows that
    end with a retry and windows that begin with one have most retries.
    """
    window = limits.window
    for at in retries:
        for find, begin in ((bisect_right, at - window), (bisect_left, at)):
            end = begin + window
            paying = max(
                find(requests, end - back) - find(requests, begin - back)
                for back in (0.0, window / 2, window)
            )
            found = find(retries, end) - find(retries, begin)
            yield found, limits.ratio * paying + limits.extra
