"""How drawn tests are run: the same draws every time, on machines of any speed.

With ``DRAWN_TIMES=N`` in the environment each test draws N times as many
examples, others in each run, as is done by hand after a change.
"""

from __future__ import annotations

import os

from hypothesis import HealthCheck
from hypothesis import settings

TIMES = int(os.environ.get("DRAWN_TIMES", "0"))


def drawn(examples):
    """Return the settings of a test that draws some examples."""
    return settings(
        max_examples=examples * max(1, TIMES),
        derandomize=not TIMES,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
