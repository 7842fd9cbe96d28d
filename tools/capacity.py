"""Calculate the tables of the capacity page from the results of the benchmarks."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path

RESULTS = Path(__file__).resolve().parent.parent / "benchmarks/results"
MAX_CONTROL_BYTES_PER_SECOND = 22_000
MAX_CONTROL_CPU_SHARE = 0.014
MAX_MEMORY_BYTES = 64e6
MAX_STORE_WRITES_PER_SECOND = 400
MAX_STORE_READS_PER_SECOND = 2000
CLAIM_SHARE = 0.1
CHAT_SECONDS = 17
LEDGER_BUCKETS = 64
MAX_BUCKET_WRITES_PER_SECOND = 4
TAIL_ENTRIES = 1000
ENTRY_BYTES = 270
RETENTION_SECONDS = 86_400
FRAME_BYTES = 4
SERVED_PULLS = 3
CHANGE_SECTIONS = 5
ADMIN_WRITES = 11


@dataclass(frozen=True)
class DeploymentSize:
    """The size of a deployment for which the tables are calculated."""

    name: str
    routers: int
    agents: int
    domains: int
    regions: int
    requests: float
    tokens: float
    chats: int
    organisations: int
    services: int
    changes: float


MEASURED = "built, measured"
FITTED = "built, slope measured"
DERIVED = "built, worked out from measured parts"
MECHANISMS = {
    "heartbeats of its agents": (
        "one router an agent, `process/membership/heartbeat.py`",
        DERIVED,
    ),
    "its report and the reply": ("`process/daemons/router_control.py`", DERIVED),
    "changes pulled": (
        "sections by digest, `process/configuration/version_manager.py`",
        MEASURED,
    ),
    "changes served to routers": ("three pulls, then holders are named", DERIVED),
    "roots served to agents": ("agents skip organisations", DERIVED),
    "reports of its domain's routers": (
        "aggregators in turn, `process/membership/load_sums.py`",
        DERIVED,
    ),
    "sums to and from other domains": (
        "sums by origin, `process/membership/load_sums.py`",
        DERIVED,
    ),
    "idle, with its agents' heartbeats": (
        "`process/daemons/router_control.py`",
        FITTED,
    ),
    "changes applied": ("only the changed group, `version/view.py`", MEASURED),
    "sums of domains": ("`process/membership/load_sums.py`", DERIVED),
    "interpreter, libraries, code": ("imports of a router", MEASURED),
    "hosts": (
        "`process/membership/members.py`, `request/choice/candidates.py`",
        FITTED,
    ),
    "organisations": ("`version/view.py`, `version/section.py`", FITTED),
    "meters of limits, all busy": ("`request/capacity/rate_limit.py`", FITTED),
}
DESIGN_SIZE = DeploymentSize(
    "size to design for",
    420,
    11_000,
    8,
    3,
    8200,
    2e6,
    4_500_000,
    14_000,
    11,
    40_000 / 86_400,
)
CURRENT_SIZE = DeploymentSize(
    "Riga or Quebec today", 3, 9, 4, 1, 20, 2000, 20_000, 10, 2, 1e-3
)


def load(name):
    return json.loads((RESULTS / f"{name}.json").read_text())


class BenchmarkResults:
    """The benchmark results that the tables are calculated from."""

    def __init__(self):
        self.cost = load("decision_cost")
        self.slopes = load("slopes")
        self.path = load("path_cost")
        self.ledger = load("ledger_rate")

    def slope(self, name):
        return self.slopes[name]["slope"]

    def base(self, name):
        return self.slopes[name]["base"]


def kb(value):
    return f"{value / 1000:.2f}" if value < 10_000 else f"{value / 1000:.1f}"


def mb(value):
    return f"{value / 1e6:.1f}"


def share(value):
    return f"{100 * value:.2f} %"


class Router:
    """Costs of one router at a deployment of some size."""

    def __init__(self, site, results, *, is_aggregator):
        self.site = site
        self.s = results
        self.is_aggregator = is_aggregator
        self.agents = site.agents / site.routers
        self.peers = site.routers / site.domains

    def bytes(self):
        c = self.s.cost
        heartbeat_bytes = c["heartbeat_bytes"] + c["heartbeat_reply_bytes"]
        rows = {
            "heartbeats of its agents": self.agents * heartbeat_bytes,
            "its report and the reply": c["peer_report_bytes"] + c["peer_reply_bytes"],
            "changes pulled": self.site.changes * c["change_bytes"],
            "changes served to routers": self.site.changes * c["change_bytes"],
            "roots served to agents": self.agents
            * self.site.changes
            * (c["root_bytes"] + 2 * FRAME_BYTES + 60),
        }
        if self.is_aggregator:
            reports = max(0.0, self.peers - 1) / 2
            report = c["peer_report_bytes"] + c["peer_reply_bytes"]
            rows["reports of its domain's routers"] = reports * report
            rows["sums to and from other domains"] = (
                2 * self.site.domains * c["domain_sums_bytes"]
            )
            rows["changes served to routers"] *= SERVED_PULLS
        return rows

    def messages(self):
        reports = max(0.0, self.peers - 1) / 2 if self.is_aggregator else 0.0
        sums = self.site.domains if self.is_aggregator else 0.0
        served = SERVED_PULLS if self.is_aggregator else 1
        pulled = self.site.changes * CHANGE_SECTIONS
        return [
            ["heartbeats in, replies out", 2 * self.agents],
            ["its reports out, replies in", 2.0],
            ["reports in, replies out", 2 * reports],
            ["sums of domains out and in", 2.0 * sums],
            ["sections asked for and had", 2 * pulled],
            ["sections served to routers", 2 * pulled * served],
            ["roots served to agents", 2 * self.agents * self.site.changes],
        ]

    def cpu(self):
        c = self.s.cost
        idle = self.s.base("router_idle_us_per_second")
        idle += self.agents * self.s.slope("router_idle_us_per_second")
        rows = {
            "idle, with its agents' heartbeats": idle,
            "changes applied": self.site.changes * c["change_apply_us"],
        }
        if self.is_aggregator:
            reports = max(0.0, self.peers - 1) / 2
            one = c["peer_report_decode_us"] + c["hear_report_us"]
            one += c["peer_reply_encode_us"] + c["sum_fleet_us"]
            rows["reports of its domain's routers"] = reports * one
            sums = c["domain_sums_encode_us"] + c["domain_sums_decode_us"]
            rows["sums of domains"] = self.site.domains * sums + c["sum_domain_us"]
        return rows

    def memory(self):
        s = self.s
        return {
            "interpreter, libraries, code": s.slopes["router_base_bytes"],
            "hosts": self.site.agents * s.slope("targets_bytes"),
            "organisations": self.site.organisations * s.slope("organisations_bytes"),
            "meters of limits, all busy": min(4096, self.site.organisations)
            * s.slope("meters_bytes"),
        }

    def serving_cpu(self):
        per_request = self.site.requests / self.site.routers * self.s.path["router_us"]
        chunks = self.site.tokens / self.site.routers
        return per_request + chunks * self.s.path["router_chunk_us"]


def table(head, rows):
    lines = [f"| {' | '.join(head)} |", f"|{' --- |' * len(head)}"]
    lines += [f"| {' | '.join(str(cell) for cell in row)} |" for row in rows]
    return "\n".join(lines)


def router_table(kind, limit, scale, unit):
    results = BenchmarkResults()
    columns = [
        Router(site, results, is_aggregator=aggregator)
        for site, aggregator in (
            (CURRENT_SIZE, True),
            (DESIGN_SIZE, False),
            (DESIGN_SIZE, True),
        )
    ]
    found = [getattr(column, kind)() for column in columns]
    names = list(found[-1])
    rows = [
        [name, *[scale(part.get(name, 0.0)) for part in found], *MECHANISMS[name]]
        for name in names
    ]
    totals = [sum(part.values()) for part in found]
    rows.append(["**together**", *[f"**{scale(total)}**" for total in totals], "", ""])
    allowed = f"of the allowed {scale(limit)} {unit}"
    rows.append([allowed, *[fits(total, limit) for total in totals], "", ""])
    sizes = ["today, aggregator", "design, router", "design, aggregator"]
    return table([unit, *sizes, "mechanism", "state"], rows)


def fits(value, limit):
    verdict = "fits" if value <= limit else "**does not fit**"
    return f"{100 * value / limit:.0f} %, {verdict}"


def router_bytes():
    return router_table("bytes", MAX_CONTROL_BYTES_PER_SECOND, kb, "kB/s")


def router_messages():
    results = BenchmarkResults()
    found = [
        Router(site, results, is_aggregator=aggregator).messages()
        for site, aggregator in (
            (CURRENT_SIZE, True),
            (DESIGN_SIZE, False),
            (DESIGN_SIZE, True),
        )
    ]
    rows = [
        [name, *[f"{part[place][1]:.1f}" for part in found]]
        for place, (name, _) in enumerate(found[0])
    ]
    sizes = ["today, aggregator", "design, router", "design, aggregator"]
    return table(["messages a second", *sizes], rows)


def router_cpu():
    return router_table(
        "cpu", MAX_CONTROL_CPU_SHARE * 1e6, lambda v: share(v / 1e6), "of a core"
    )


def router_memory():
    return router_table("memory", MAX_MEMORY_BYTES, mb, "MB")


def serving():
    results = BenchmarkResults()
    path = results.path
    rows = []
    for site in (CURRENT_SIZE, DESIGN_SIZE):
        router = Router(site, results, is_aggregator=False)
        requests = site.requests / site.agents
        tokens = site.tokens / site.agents
        agent = requests * path["agent_us"] + tokens * path["agent_chunk_us"]
        calls = site.requests * CHAT_SECONDS / site.routers
        rows.append(
            [
                site.name,
                f"{site.requests / site.routers:.1f}",
                f"{site.tokens / site.routers:.0f}",
                f"{calls:.0f}",
                share(router.serving_cpu() / 1e6),
                share(agent / 1e6),
            ],
        )
    head = [
        "site",
        "requests/s a router (built, measured)",
        "tokens/s a router",
        "calls under way",
        "router's CPU",
        "agent's CPU",
    ]
    return table(head, rows)


def agent_table():
    results = BenchmarkResults()
    cost = results.cost
    rows = []
    for site in (CURRENT_SIZE, DESIGN_SIZE):
        chats = site.chats / site.agents
        memory = results.slopes["agent_memory_bytes"] + chats * results.slope(
            "chats_bytes"
        )
        heartbeat_bytes = cost["heartbeat_bytes"] + cost["heartbeat_reply_bytes"]
        pulls = site.changes * (cost["root_bytes"] + 60)
        idle = results.base("agent_idle_us_per_second") / 1e6
        rows.append(
            [
                site.name,
                f"{chats:.0f}",
                f"{mb(memory)} MB ({fits(memory, MAX_MEMORY_BYTES)})",
                f"{kb(heartbeat_bytes + pulls)} kB/s ({fits(heartbeat_bytes + pulls, MAX_CONTROL_BYTES_PER_SECOND)})",
                f"{share(idle)} ({fits(idle, MAX_CONTROL_CPU_SHARE)})",
            ],
        )
    head = [
        "site (built, slopes measured)",
        "chats remembered",
        "memory",
        "control bytes",
        "control CPU",
    ]
    return table(head, rows)


def ledger_table():
    results = BenchmarkResults()
    rows = []
    for site in (CURRENT_SIZE, DESIGN_SIZE):
        claims = site.requests * CLAIM_SHARE
        keys = claims * RETENTION_SECONDS / LEDGER_BUCKETS
        memory = keys * results.slope("sealed_keys_bytes")
        writes = min(2 * claims, LEDGER_BUCKETS * MAX_BUCKET_WRITES_PER_SECOND)
        per_bucket = min(2 * claims / LEDGER_BUCKETS, MAX_BUCKET_WRITES_PER_SECOND)
        names = keys / TAIL_ENTRIES / 2 * 45
        tail = min(TAIL_ENTRIES, keys) * ENTRY_BYTES + names
        cpu = 2 * claims / LEDGER_BUCKETS * ledger_cpu(results)
        rows.append(
            [
                site.name,
                f"{claims:.0f}",
                f"{writes:.0f} of {MAX_STORE_WRITES_PER_SECOND}",
                f"{keys:,.0f}",
                f"{mb(memory)} MB",
                f"{kb(per_bucket * tail)} kB/s ({fits(per_bucket * tail, MAX_CONTROL_BYTES_PER_SECOND)})",
                share(cpu / 1e6),
            ],
        )
    head = [
        "site",
        "claims/s, a tenth of requests (built, parts measured)",
        "store writes/s",
        "keys a bucket in a day",
        "memory a bucket",
        "bytes written a bucket",
        "CPU a bucket",
    ]
    return table(head, rows)


def ledger_cpu(results):
    return results.ledger["rate_820_buckets_64"]["cpu_us_per_claim"]


def platform_table():
    results = BenchmarkResults()
    rows = []
    for site in (CURRENT_SIZE, DESIGN_SIZE):
        aggregators = min(site.routers, 2 * site.domains)
        claims = site.requests * CLAIM_SHARE
        ledger = min(2 * claims, LEDGER_BUCKETS * MAX_BUCKET_WRITES_PER_SECOND)
        reads = {
            "waiting watches": aggregators / 20 + aggregators * site.changes,
            "lists of hosts": aggregators / 2,
            "sections": aggregators * CHANGE_SECTIONS * site.changes,
        }
        hosts = 740 / 86_400 * 3 * site.agents / DESIGN_SIZE.agents
        writes = ledger + ADMIN_WRITES * site.changes + hosts
        total = sum(reads.values())
        rows.append(
            [
                site.name,
                *[f"{value:.1f}" for value in reads.values()],
                f"{total:.0f} of {MAX_STORE_READS_PER_SECOND} ({fits(total, MAX_STORE_READS_PER_SECOND)})",
                f"{ledger:.0f}",
                f"{writes:.0f} of {MAX_STORE_WRITES_PER_SECOND} ({fits(writes, MAX_STORE_WRITES_PER_SECOND)})",
            ],
        )
    del results
    head = [
        "site",
        "watches/s (built, worked out)",
        "lists/s",
        "sections/s",
        "reads/s together",
        "ledger writes/s",
        "writes/s together",
    ]
    return table(head, rows)


def slope_table():
    results = BenchmarkResults().slopes
    rows = []
    for name in (
        "targets_bytes",
        "organisations_bytes",
        "chats_bytes",
        "sealed_keys_bytes",
        "meters_bytes",
        "router_idle_us_per_second",
        "agent_idle_us_per_second",
    ):
        item = results[name]
        points = ", ".join(f"{x:,}: {y:,.0f}" for x, y in item["points"])
        rows.append(
            [
                name,
                points,
                f"{item['base']:,.0f}",
                f"{item['slope']:,.2f}",
                f"{item['error']:,.0f}",
            ],
        )
    head = ["figure", "size: measured", "base", "slope", "error (rms)"]
    return table(head, rows)


BLOCKS = {
    "capacity-router-bytes": router_bytes,
    "capacity-router-messages": router_messages,
    "capacity-router-cpu": router_cpu,
    "capacity-router-memory": router_memory,
    "capacity-serving": serving,
    "capacity-agent": agent_table,
    "capacity-ledger": ledger_table,
    "capacity-platform": platform_table,
    "capacity-slopes": slope_table,
}
