"""Measure the seconds from acceptance of a version until all processes adopted it."""

from __future__ import annotations

import json
import sys
import time

from fleet import BUNDLE
from fleet import KEY
from fleet import Fleet
from fleet import sha256_hex
from support import ROOT
from support import fit
from support import free_port
from support import save

PROCESS_COUNTS = (10, 40, 100)
ROUTER_SHARE = 0.2
DOMAINS = 4
CHANGES = 5
TIMEOUT_SECONDS = 20.0


def run(size):
    fleet = Fleet(latency=0.002)
    try:
        routers = max(4, int(size * ROUTER_SHARE))
        for number in range(routers):
            fleet.add_router(f"d{number % DOMAINS}")
        target = free_port()
        fleet.add_target([str(ROOT / "bare_server.py")], target)
        for number in range(size - routers):
            fleet.add_agent("plain", target, f"d{number % DOMAINS}")
        text = BUNDLE.format(key=sha256_hex(KEY))
        fleet.roll_out(text)
        fleet.settle(120)
        seconds = []
        for number in range(CHANGES):
            changed = f"{text}[organisation new-{number}]\nkey_hashes =\n"
            fleet.roll_out(changed)
            seconds.append(adoption_seconds(fleet, number + 2))
        memory = sum(child.memory() for child in fleet.children)
        return {
            "routers": routers,
            "agents": size - routers,
            "worst_seconds": max(seconds),
            "mean_seconds": sum(seconds) / len(seconds),
            "memory_mb": memory / 1e6,
        }
    finally:
        fleet.end()


def adoption_seconds(fleet, version):
    """Return the seconds from acceptance until every process logged its adoption.

    The logs are read because the status that routers report can be a second old.
    """
    until = time.monotonic() + TIMEOUT_SECONDS
    while time.monotonic() < until:
        adopted = [adoption_time(c, version) for c in fleet.routers + fleet.agents]
        if all(adopted):
            return max(adopted) - fleet.accepted_at
        time.sleep(0.1)
    return TIMEOUT_SECONDS


def adoption_time(child, version):
    for line in reversed(child.output().splitlines()):
        if '"version_adopted"' in line:
            fields = json.loads(line)
            if fields["version"] == version:
                return fields["timestamp"]
    return None


def main():
    sizes = [int(argument) for argument in sys.argv[1:]] or PROCESS_COUNTS
    figures = {f"processes_{size}": run(size) for size in sizes}
    points = [(size, figures[f"processes_{size}"]["worst_seconds"]) for size in sizes]
    if len(points) > 1:
        figures["worst_seconds_fit"] = {"points": points, **fit(points)}
    save("config_spread", figures)


if __name__ == "__main__":
    main()
