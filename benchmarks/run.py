"""Run the benchmarks listed here, or those given, one after the other."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
NAMES = (
    "decision_cost",
    "fairness",
    "ledger_rate",
    "placement",
    "slopes",
    "path_cost",
    "config_spread",
)


def main():
    for name in sys.argv[1:] or NAMES:
        subprocess.run([sys.executable, str(ROOT / f"{name}.py")], check=True)


if __name__ == "__main__":
    main()
