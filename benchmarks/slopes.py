"""Fit slopes of memory and CPU time by fleet size, which tools/capacity.py uses."""

from __future__ import annotations

import subprocess
import sys
import time

from fleet import Fleet
from support import ROOT
from support import fit
from support import free_port
from support import save

TARGET_COUNTS = (2000, 5500, 11_000)
ORGANISATION_COUNTS = (2000, 7000, 14_000)
CHAT_COUNTS = (2000, 5000, 10_000)
KEY_COUNTS = (200_000, 500_000, 1_000_000)
AGENT_COUNTS = (4, 12, 24)
IDLE_SECONDS = 10
SETUP_CODE = """
import sys, gc
sys.path.insert(0, {root!r})
from primrosescale.process.daemons import agent, router
def memory():
    gc.collect()
    return int(open('/proc/self/statm').read().split()[1]) * 4096
base = memory()
"""
MEASURED_CODE = {
    "router_base": "pass",
    "targets": """
from primrosescale.process.membership.members import Members
from primrosescale.process.membership.flap_damper import MembershipSettings
from primrosescale.request.choice.candidates import Locality
from primrosescale.connection.wire import ttypes as wire
members = Members(MembershipSettings(), Locality('r1', 'd1'))
entries = [wire.HostEntry(f'engine-{{n:05d}}', 'agent', f'10.{{n>>16}}.{{n>>8&255}}.{{n&255}}',
    8090, f'd{{n%8}}', f'r{{n%3}}', f'model-{{n%11}}', False, False, n, 1 << 50 | n)
    for n in range({count})]
members.apply_list(entries, {count}, 0.0, is_full=True)
del entries
""",
    "organisations": """
from primrosescale.version.bundle import Bundle
from primrosescale.version.section import build_tree
from primrosescale.version.head import HeadVerifier, VersionHead
from primrosescale.process.configuration.version_manager import VersionManager, VersionObserver, SectionSource
from twisted.internet.defer import succeed
import subprocess, pickle
class IgnoringObserver(VersionObserver):
    def adopted(self, view): pass
    def head_refused(self, error): raise error
    def pull_failed(self, version, detail): raise RuntimeError(detail)
class AcceptAllHeads(HeadVerifier):
    def verify(self, head): pass
code = '''
import pickle, sys
from primrosescale.version.bundle import Bundle
from primrosescale.version.section import build_tree
text = ''.join(f"[organisation org-{{n:05d}}]\\\\nkey_hashes = {{n:064x}}\\\\nteam = t\\\\nweight = 2\\\\n" for n in range({count}))
tree = build_tree(Bundle.from_ini(text, 't'), 1, '', 'a', 0)
sys.stdout.buffer.write(pickle.dumps((tree.digest, {{d: s.data for d, s in tree.sections.items()}})))
'''
digest, sections = pickle.loads(subprocess.run([sys.executable, '-c', code], capture_output=True, check=True).stdout)
class Source(SectionSource):
    def fetch(self, wanted): return succeed(sections[wanted])
base = memory()
version_manager = VersionManager(AcceptAllHeads({{}}), IgnoringObserver(), needs_organisations=True)
version_manager.pull_if_newer(VersionHead(1, digest, 'a', b''), Source())
assert version_manager.version == 1
""",
    "chats": """
from primrosescale.request.choice.chat_directory import ChatDirectory
directory = ChatDirectory({count}, 1e9)
for n in range({count}):
    directory.record_served(f'organisation-{{n%100}}/chat-{{n:07d}}', f'engine-{{n%1000}}', 2000, 1.0)
""",
    "sealed_keys": """
from primrosescale.process.ledger.ledger_bucket import SealedIndex
from primrosescale.connection.wire import ttypes as wire
import os
def segment(n):
    return wire.LedgerSegment(1, [wire.LedgerEntry(os.urandom(16), b't', b'f', 1, 1) for _ in range(n)], [])
indexes = [SealedIndex(f's{{k}}', segment(2000)) for k in range({count} // 2000)]
""",
    "meters": """
from primrosescale.request.capacity.rate_limit import OrganisationRateLimiter, RateSettings
limiter = OrganisationRateLimiter(RateSettings(meters=10**6))
for n in range({count}):
    limiter.admit(f'organisation-{{n:05d}}', 50.0, 1.0)
""",
}


def memory_of(kind, count):
    code = (SETUP_CODE + MEASURED_CODE[kind]).format(root=str(ROOT), count=count)
    code += "\nprint(memory() - base, base)\n"
    found = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        check=True,
    )
    added, base = found.stdout.split()
    return int(added), int(base)


def memory_slopes():
    figures = {"router_base_bytes": memory_of("router_base", 0)[1]}
    for kind, counts in (
        ("targets", TARGET_COUNTS),
        ("organisations", ORGANISATION_COUNTS),
        ("chats", CHAT_COUNTS),
        ("sealed_keys", KEY_COUNTS),
        ("meters", ORGANISATION_COUNTS),
    ):
        points = [(count, memory_of(kind, count)[0]) for count in counts]
        figures[f"{kind}_bytes"] = {"points": points, **fit(points)}
    return figures


def idle_cpu(agents):
    """Return CPU shares and memory bytes of a router with idle agents and of an agent."""
    fleet = Fleet()
    try:
        router = fleet.add_router()
        target = free_port()
        fleet.add_target([str(ROOT / "bare_server.py")], target)
        for _ in range(agents):
            fleet.add_agent("plain", target)
        fleet.roll_out()
        fleet.settle(60)
        time.sleep(1)
        router_before, agent_before = router.cpu(), fleet.agents[0].cpu()
        time.sleep(IDLE_SECONDS)
        return (
            (router.cpu() - router_before) / IDLE_SECONDS,
            (fleet.agents[0].cpu() - agent_before) / IDLE_SECONDS,
            router.memory(),
            fleet.agents[0].memory(),
        )
    finally:
        fleet.end()


def cpu_slopes():
    found = [(count, idle_cpu(count)) for count in AGENT_COUNTS]
    router = [(count, 1e6 * cpu[0]) for count, cpu in found]
    agent = [(count, 1e6 * cpu[1]) for count, cpu in found]
    return {
        "router_idle_us_per_second": {"points": router, **fit(router)},
        "agent_idle_us_per_second": {"points": agent, **fit(agent)},
        "router_memory_bytes": found[-1][1][2],
        "agent_memory_bytes": found[-1][1][3],
    }


def main():
    save("slopes", {**memory_slopes(), **cpu_slopes()})


if __name__ == "__main__":
    main()
