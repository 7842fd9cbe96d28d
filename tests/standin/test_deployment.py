"""Tests of restarted targets and foreign host entries in the demo deployment.

They guard against stand-ins that keep state over a restart, and against routers that
stop following the list of hosts because of invalid entries of other writers.
"""

from __future__ import annotations

from eliot import add_destinations
from eliot import remove_destination
from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks

from primrosescale.standin.deployment import MODEL
from primrosescale.standin.deployment import MODEL_SERVICE
from process.test_callers import DeployedTest

GOOD = {
    "name": "stranger",
    "role": "agent",
    "address": "127.0.0.1",
    "port": 9,
    "domain": "d1",
    "region": "riga",
    "service_name": MODEL_SERVICE,
    "leaving": False,
    "gone": False,
    "version": 1,
    "incarnation": 1,
}
ODD_HOSTS = [
    None,
    "text",
    [],
    {},
    {**GOOD, "port": "9"},
    {**GOOD, "port": 0},
    {**GOOD, "port": True},
    {**GOOD, "gone": "no"},
    {**GOOD, "incarnation": 1.5},
    {**GOOD, "version": -1},
    {**GOOD, "name": 7},
    {**GOOD, "name": ""},
    {**GOOD, "role": "stranger"},
    *({k: v for k, v in GOOD.items() if k != name} for name in GOOD),
]
PATH = "/v1/chat/completions"
OK = 200


class RestartTest(DeployedTest):
    def chat(self, name, tokens=5, *, stream=False):
        return self.call(
            PATH,
            {
                "model": MODEL,
                "messages": [{"role": "user", "content": "a tariff " * 200}],
                "chat_id": name,
                "max_tokens": tokens,
                "stream": stream,
            },
        )

    def targets_holding(self, name):
        return [
            target
            for target in self.deployment.targets.values()
            if target.service == MODEL_SERVICE
            and any(chat.endswith(name) for chat in target.resource.cache.chats)
        ]

    @inlineCallbacks
    def test_it_keeps_name_and_address_and_forgets_the_rest(self):
        yield self.chat("c1")
        [target] = self.targets_holding("c1")
        before = (target.agent, target.port.getHost().port)
        former = target.resource
        yield self.deployment.restart_target(target.name)
        self.assertEqual(before, (target.agent, target.port.getHost().port))
        self.assertIsNot(former, target.resource)
        self.assertEqual([], self.targets_holding("c1"))
        self.assertEqual(0, target.resource.fence)

    @inlineCallbacks
    def test_what_was_running_is_cut_and_the_new_incarnation_gets_work(self):
        running = self.chat("c2", 600, stream=True)
        busy = []
        while not busy:
            yield self.deployment.pause(0.02)
            targets = self.deployment.targets.values()
            engines = [t for t in targets if t.service == MODEL_SERVICE]
            busy = [t for t in engines if t.resource.running]
        [target] = busy
        yield self.deployment.pause(0.2)
        yield self.deployment.restart_target(target.name)
        reply = yield running
        self.assertNotIn(b"[DONE]", reply.body)
        self.assertEqual(0, target.resource.running)
        for number in range(60):
            reply = yield self.chat(f"d{number}")
            if target.resource.answered_count:
                return
            yield self.deployment.pause(0.05)
        self.fail("the new incarnation got no requests")


class ForeignHostsTest(DeployedTest):
    @inlineCallbacks
    def test_routers_follow_the_list_beside_entries_of_other_writers(self):
        lines = []
        add_destinations(lines.append)
        self.addCleanup(remove_destination, lines.append)
        self.deployment.write_foreign_hosts(ODD_HOSTS)
        yield self.deployment.start_target("engine-9", MODEL_SERVICE, 1)
        store = self.deployment.store
        all_members = [router.members for router in self.deployment.routers]
        for _ in range(200):
            versions = [members.list_version for members in all_members]
            if min(versions) >= store.hosts(0, reactor.seconds()).version:
                break
            yield self.deployment.pause(0.05)
        else:
            self.fail(f"routers know versions {versions}")
        for members in all_members:
            self.assertIsNotNone(members.get("engine-9"))
            self.assertIsNone(members.get("stranger"))
        # Refusals are logged once for each change, however often the list is read.
        yield self.deployment.pause(1.5)
        refusals = [
            line for line in lines if line.get("message_type") == "host_refused"
        ]
        self.assertEqual(len(ODD_HOSTS) * len(all_members), len(refusals))
