"""The demo's deployment plays a target that starts again under its name."""

from __future__ import annotations

from twisted.internet.defer import inlineCallbacks

from primrosescale.standin.deployment import MODEL
from primrosescale.standin.deployment import MODEL_SERVICE
from process.test_callers import DeployedTest

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

    def holders(self, name):
        return [
            target
            for target in self.deployment.targets.values()
            if target.service == MODEL_SERVICE
            and any(chat.endswith(name) for chat in target.resource.cache.chats)
        ]

    @inlineCallbacks
    def test_it_keeps_name_and_address_and_forgets_the_rest(self):
        yield self.chat("c1")
        [target] = self.holders("c1")
        before = (target.agent, target.port.getHost().port)
        former = target.resource
        yield self.deployment.restart_target(target.name)
        self.assertEqual(before, (target.agent, target.port.getHost().port))
        self.assertIsNot(former, target.resource)
        self.assertEqual([], self.holders("c1"))
        self.assertEqual(0, target.resource.fence)

    @inlineCallbacks
    def test_what_was_running_is_cut_and_the_new_life_gets_work(self):
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
        self.fail("the new life got no work")
