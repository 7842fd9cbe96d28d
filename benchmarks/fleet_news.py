"""Compare settings of the state exchange by the target choices that follow from it.

Drives the product's state exchange, prefix cache index and target choice on a virtual
clock: routers before model engines, 4.6 requests a second a router, prompts with long
shared parts. Only decisions and bytes are counted; entry_news.py and choice_cost.py
measure processor time.
"""

from __future__ import annotations

from importlib.machinery import SourceFileLoader

from primrosescale.process.entry.relay_topology import StateExchangeSettings
from support import ROOT
from support import percentile
from support import save

# Loaded by path: the tests' package "support" has the name of a module here.
FLEET = ROOT.parent / "tests/support/router_fleet.py"
Fleet = SourceFileLoader("router_fleet", str(FLEET)).load_module().Fleet

REQUESTS_PER_ROUTER = 4.63
# Routers, engines, failure domains, seconds of warm-up, seconds measured.
FLEET_SIZES = (
    (4, 5, 4, 6.0, 6.0),
    (23, 22, 5, 6.0, 6.0),
    (68, 60, 6, 6.0, 5.0),
    (150, 132, 6, 5.0, 3.0),
    (420, 370, 8, 4.0, 1.5),
)
SEED = 1
FULL_MESH = StateExchangeSettings(most_direct=10_000)


def simulate(size, settings, *, relies_on_homes=True):
    """Return load and cache figures of the choices, and bytes sent in the exchange."""
    routers, engines, domains, warm_up_seconds, measured_seconds = size
    rate = REQUESTS_PER_ROUTER * routers
    fleet = Fleet(routers, engines, domains, rate, SEED, settings=settings)
    if not relies_on_homes:
        for router in fleet.routers:
            router.chooser._relies_on_homes = lambda: False
    fleet.begin()
    fleet.run(warm_up_seconds)
    fleet.settle()
    before = fleet.bytes_out()
    fleet.run(measured_seconds)
    pairs = zip(before, fleet.bytes_out(), strict=True)
    kilobytes_per_second = [
        (end - begin) / measured_seconds / 1000 for begin, end in pairs
    ]
    return {
        "over_bound": fleet.over_share,
        "read": fleet.read_share,
        "moved": fleet.fetched_share,
        "load_age_p95": percentile(fleet.ages, 0.95),
        "mean_kb_s": sum(kilobytes_per_second) / routers,
        "most_kb_s": max(kilobytes_per_second),
    }


def main():
    figures = {}
    for size in FLEET_SIZES:
        routers = size[0]
        figures[f"{routers}_usual"] = simulate(size, StateExchangeSettings())
        if routers in {68, 150}:
            figures[f"{routers}_all_tell_all"] = simulate(size, FULL_MESH)
        if routers == 68:
            figures["68_without_homes"] = simulate(
                size, StateExchangeSettings(), relies_on_homes=False
            )
            slow = StateExchangeSettings(interval=0.25)
            figures["68_interval_0.25"] = simulate(size, slow)
    save("fleet_news", figures)


if __name__ == "__main__":
    main()
