"""Routers that spread requests of many organisations over model engines."""

from __future__ import annotations

__version__ = "0.1.0"
