"""Ways of news between routers, weighed by where work then goes.

Drives the product's own news, knowledge and choice on a virtual clock: routers
before model engines, 4.6 requests a second a router, prompts with long shared
parts. Decisions only; what they cost is measured elsewhere.
"""

from __future__ import annotations

from importlib.machinery import SourceFileLoader

from primrosescale.process.entry.relay_topology import StateExchangeSettings
from support import ROOT
from support import percentile
from support import save

# The fleet of the tests, whose folder has a package of this folder's name.
FLEET = ROOT.parent / "tests/support/router_fleet.py"
Fleet = SourceFileLoader("router_fleet", str(FLEET)).load_module().Fleet

REQUESTS_PER_ROUTER = 4.63
# Routers, engines, failure domains, seconds before and while it is counted.
SIZES = (
    (4, 5, 4, 6.0, 6.0),
    (23, 22, 5, 6.0, 6.0),
    (68, 60, 6, 6.0, 5.0),
    (150, 132, 6, 5.0, 3.0),
    (420, 370, 8, 4.0, 1.5),
)
SEED = 1
ALL_TELL_ALL = StateExchangeSettings(most_direct=10_000)


def play(size, settings, *, relies_on_homes=True):
    """Return where work went, and what the news took."""
    routers, engines, domains, warm, counted = size
    rate = REQUESTS_PER_ROUTER * routers
    fleet = Fleet(routers, engines, domains, rate, SEED, settings=settings)
    if not relies_on_homes:
        for router in fleet.routers:
            router.chooser._relies_on_homes = lambda: False
    fleet.begin()
    fleet.run(warm)
    fleet.settle()
    before = fleet.bytes_out()
    fleet.run(counted)
    pairs = zip(before, fleet.bytes_out(), strict=True)
    spent = [(end - begin) / counted / 1000 for begin, end in pairs]
    return {
        "over_bound": fleet.over_share,
        "read": fleet.read_share,
        "moved": fleet.fetched_share,
        "load_age_p95": percentile(fleet.ages, 0.95),
        "mean_kb_s": sum(spent) / routers,
        "most_kb_s": max(spent),
    }


def main():
    figures = {}
    for size in SIZES:
        routers = size[0]
        figures[f"{routers}_usual"] = play(size, StateExchangeSettings())
        if routers in {68, 150}:
            figures[f"{routers}_all_tell_all"] = play(size, ALL_TELL_ALL)
        if routers == 68:
            figures["68_without_homes"] = play(
                size, StateExchangeSettings(), relies_on_homes=False
            )
            slow = StateExchangeSettings(interval=0.25)
            figures["68_interval_0.25"] = play(size, slow)
    save("fleet_news", figures)


if __name__ == "__main__":
    main()
