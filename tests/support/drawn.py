"""Defines the hypothesis settings of property-based tests.

Runs are deterministic and have no deadlines, so that they do not depend on the speed
of the machine. With ``DRAWN_TIMES=N`` in the environment each test draws N times as
many examples, different ones in each run; this is meant for manual runs after changes.
"""

from __future__ import annotations

import os

from hypothesis import HealthCheck
from hypothesis import settings

TIMES = int(os.environ.get("DRAWN_TIMES", "0"))


def drawn(examples):
    """Return the settings of a test with a number of examples."""
    return settings(
        max_examples=examples * max(1, TIMES),
        derandomize=not TIMES,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
