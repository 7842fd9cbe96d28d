"""How many descriptors callers may use."""

from __future__ import annotations

import resource

# Share that callers may use; the others are for targets, the store, links and files.
CALLERS_SHARE = 0.5
# Taken where the system sets no limit.
MAX_DESCRIPTORS = 65_536


def callers_connections(limit: int = MAX_DESCRIPTORS) -> int:
    """Return how many connections callers may open.

    Parameters
    ----------
    limit : int
        Descriptors that the process may open by its settings.

    Returns
    -------
    int
        A share of that limit, or of the system's if it is lower.
    """
    system_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if system_limit == resource.RLIM_INFINITY:
        system_limit = MAX_DESCRIPTORS
    return max(1, int(CALLERS_SHARE * min(limit, system_limit)))
