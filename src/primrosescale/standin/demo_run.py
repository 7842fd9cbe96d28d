"""The demo's workload on a small deployment, and the checks of its outcome.

Callers hold chats of several turns and send switch requests twice, each through a
router chosen at random, while one engine is restarted and another is drained.
"""

from __future__ import annotations

import json
import random
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import DeferredList
from twisted.internet.defer import inlineCallbacks

from primrosescale.standin.deployment import FLOOR_WORK_UNITS
from primrosescale.standin.deployment import LOOPBACK
from primrosescale.standin.deployment import MODEL
from primrosescale.standin.deployment import MODEL_SERVICE
from primrosescale.standin.deployment import ORGANISATIONS
from primrosescale.standin.deployment import organisation_key
from primrosescale.standin.engine import EngineResource

if TYPE_CHECKING:
    from collections.abc import Generator

    from primrosescale.standin.demo_client import DemoClient
    from primrosescale.standin.demo_client import Reply
    from primrosescale.standin.deployment import Deployment

SEED = 7
CHAT_COUNT = 120
TURNS_PER_CHAT = 5
CASE_COUNT = 40
CONTEXT = "Here is the tariff file we talked about. " * 30
SECONDS_BETWEEN_TURNS = 0.3
SAMPLE_INTERVAL_SECONDS = 0.1
OK = 200
CONFLICT = 409
RETRY_STATUSES = frozenset({409, 429, 503})
MAX_REQUESTS_PER_CALL = 20


@dataclass(slots=True)
class Summary:
    """Counts and measurements of one run.

    Parameters
    ----------
    calls : int
        Calls that had to be answered, however often they were retried.
    requests : int
        Requests made, including retries after a refusal.
    whole : int
        Complete answers with status 200.
    refusals : dict[str, int]
        Refusals by kind.
    refused : dict[str, int]
        Refusals by organisation.
    broken : list[str]
        Descriptions of the invariants that did not hold.
    first_bytes : list[float]
        Seconds to the first token of streamed answers.
    prompt_tokens : int
        Prompt tokens of all turns but the first of each chat.
    cached_tokens : int
        Those of them that an engine had in its prefix cache.
    skews : list[float]
        Sampled ratios of the highest load of an engine to the mean load.
    cases : int
        Switch cases opened; each is to run once.
    duplicates : int
        Runs of a case after its first.
    """

    calls: int = 0
    requests: int = 0
    whole: int = 0
    refusals: dict[str, int] = field(default_factory=dict)
    refused: dict[str, int] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)
    first_bytes: list[float] = field(default_factory=list)
    prompt_tokens: int = 0
    cached_tokens: int = 0
    skews: list[float] = field(default_factory=list)
    cases: int = 0
    duplicates: int = 0

    def text(self) -> str:
        """Format the summary as text.

        Returns
        -------
        str
            One line for each figure.
        """
        reuse = 100 * self.cached_tokens / max(1, self.prompt_tokens)
        skew = max(self.skews, default=0.0)
        median = _quantile(self.first_bytes, 0.5) * 1000
        p95 = _quantile(self.first_bytes, 0.95) * 1000
        first = f"p50 {median:.0f} ms, p95 {p95:.0f} ms"
        lines = [
            f"calls                 {self.calls}",
            f"complete answers      {self.whole}",
            *self._refusal_lines(),
            f"switch cases          {self.cases} opened, {self.duplicates} duplicates",
            f"cache reuse           {reuse:.1f} % of returning prompts' tokens",
            f"max/mean load         {skew:.2f} at most, with the mean above the floor",
            f"time to first token   {first}",
            f"invariants            {'broken' if self.broken else 'held'}",
        ]
        lines += [f"  broken: {item}" for item in self.broken]
        return "\n".join(lines)

    def _refusal_lines(self) -> list[str]:
        """Format the refusals; in a surge large organisations are refused first."""
        total = sum(self.refusals.values())
        if not total:
            return ["told to retry         none"]
        kinds = ", ".join(f"{k} {n}" for k, n in sorted(self.refusals.items()))
        mean = sum(weight for _, weight in ORGANISATIONS) / len(ORGANISATIONS)
        large = [name for name, weight in ORGANISATIONS if weight > mean]
        of_large = sum(self.refused.get(name, 0) for name in large)
        return [
            f"told to retry         {total} of {self.requests} requests ({kinds})",
            (
                f"  of these            {of_large} large organisations ({len(large)}),"
                f" {total - of_large} small ones ({len(ORGANISATIONS) - len(large)})"
            ),
            (
                "  why                 all chats begin within 2 s: the bound on each"
                " engine's load holds;"
            ),
            (
                "                      organisations with most queued calls are refused"
                " and retry as told"
            ),
        ]


class DemoRun:
    """Runs chats with several turns, switch requests, a restart and a drain.

    Parameters
    ----------
    deployment : Deployment
        The deployment that is called.
    client : DemoClient
        Makes the calls.
    reactor : Any
        Twisted's reactor.
    """

    def __init__(
        self, deployment: Deployment, client: DemoClient, reactor: Any
    ) -> None:
        self._deployment = deployment
        self._client = client
        self._reactor = reactor
        self._rng = random.Random(SEED)  # noqa: S311 - a load, not a secret
        self._summary = Summary()
        self._is_sampling = True

    @inlineCallbacks
    def run(self) -> Generator[Any, Any, Summary]:
        """Run the workload and check its outcome.

        Returns
        -------
        Deferred[Summary]
            Its counts, measurements and broken invariants.
        """
        self._sample_load_skew()
        weights = [weight**2 for _, weight in ORGANISATIONS]
        names = [name for name, _ in ORGANISATIONS]
        work = [
            self._chat(self._rng.choices(names, weights)[0], f"chat-{number}")
            for number in range(CHAT_COUNT)
        ]
        work += [self._confirm_switch(number) for number in range(CASE_COUNT)]
        work.append(self._restart_and_drain())
        results = yield DeferredList(work, consumeErrors=True)
        self._is_sampling = False
        for is_successful, result in results:
            if not is_successful:
                self._summary.broken.append(result.getErrorMessage())
        self._check_cases()
        return self._summary

    @inlineCallbacks
    def _chat(self, organisation: str, chat: str) -> Generator[Any, Any, None]:
        """Run the turns of a chat; each sends the whole history."""
        messages = [{"role": "user", "content": f"{CONTEXT} I am {chat}."}]
        yield self._deployment.pause(self._rng.uniform(0, 2.0))
        for turn in range(TURNS_PER_CHAT):
            is_streamed = turn % 2 == 0
            fields = {
                "model": MODEL,
                "messages": messages,
                "stream": is_streamed,
                "chat_id": chat,
                "max_tokens": 30,
            }
            body = json.dumps(fields).encode()
            reply = yield self._call(organisation, "/v1/chat/completions", body, {})
            if reply.status == OK:
                self._check_chat(reply, f"{organisation}/{chat}", is_streamed)
                self._count_reuse(reply, len(body), turn)
            messages.append({"role": "assistant", "content": "noted " * 20})
            messages.append({"role": "user", "content": f"and then, {turn}?"})
            yield self._deployment.pause(SECONDS_BETWEEN_TURNS)

    @inlineCallbacks
    def _confirm_switch(self, number: int) -> Generator[Any, Any, None]:
        """Send a switch request twice; the second may reach another router."""
        yield self._deployment.pause(self._rng.uniform(0, 4.0))
        case = f"case-{number}"
        body = json.dumps({"case": case}).encode()
        headers = {"Idempotency-Key": f"switch-{number}"}
        for _ in range(2):
            reply = yield self._call(
                "grid-exchange", "/services/portal/switches", body, headers
            )
            if reply.status != OK:
                self._summary.broken.append(f"{case} ended with {reply.status}")
            elif reply.json().get("case") != case:
                self._summary.broken.append(f"{case} got another case's answer")

    @inlineCallbacks
    def _restart_and_drain(self) -> Generator[Any, Any, None]:
        """Restart one engine and drain another while the load runs."""
        yield self._deployment.pause(1.5)
        yield self._deployment.stop_target("engine-2")
        yield self._deployment.start_target("engine-2", MODEL_SERVICE, 1)
        yield self._deployment.pause(0.5)
        yield self._deployment.stop_target("engine-5")

    @inlineCallbacks
    def _call(
        self,
        organisation: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> Generator[Any, Any, Any]:
        """Send a request, and retry it after the time that a refusal names."""
        sent = {
            "Authorization": f"Bearer {organisation_key(organisation)}",
            "Content-Type": "application/json",
            **headers,
        }
        self._summary.calls += 1
        for _ in range(MAX_REQUESTS_PER_CALL):
            router = self._rng.choice(self._deployment.routers)
            url = f"http://{LOOPBACK}:{router.http_port}{path}"
            self._summary.requests += 1
            reply = yield self._client.call("POST", url, sent, body)
            if reply.status not in RETRY_STATUSES:
                break
            kind = str(reply.json().get("type", "")).rpartition(":")[2]
            self._summary.refusals[kind] = self._summary.refusals.get(kind, 0) + 1
            refused = self._summary.refused
            refused[organisation] = refused.get(organisation, 0) + 1
            retry_delay = float(reply.json().get("retry_after", 0.2))
            yield self._deployment.pause(min(1.0, retry_delay))
        if reply.status == OK and reply.is_whole:
            self._summary.whole += 1
        elif reply.status not in RETRY_STATUSES:
            detail = reply.body.decode("utf-8", "replace")[:200]
            self._summary.broken.append(f"{path} ended with {reply.status}: {detail}")
        return reply

    def _check_chat(self, reply: Reply, chat: str, is_streamed: bool) -> None:
        text = reply.body.decode()
        if is_streamed:
            self._summary.first_bytes.append(reply.first_byte)
            if not text.rstrip().endswith("[DONE]"):
                self._summary.broken.append(
                    f"{chat}: stream ended without its last event"
                )
        if chat not in text:
            self._summary.broken.append(f"{chat}: answer belongs to another chat")

    def _count_reuse(self, reply: Reply, size: int, turn: int) -> None:
        if turn == 0:
            return
        cached = reply.headers.getRawHeaders("X-Cached-Tokens", ["0"])[0]
        self._summary.prompt_tokens += size // 4
        self._summary.cached_tokens += int(cached)

    def _check_cases(self) -> None:
        runs = self._deployment.runs
        self._summary.cases = len(runs)
        self._summary.duplicates = sum(count - 1 for count in runs.values())
        if self._summary.duplicates:
            self._summary.broken.append("a non-idempotent request ran twice")

    def _sample_load_skew(self) -> None:
        """Record the ratio of the highest load to the mean, above the load floor."""
        if not self._is_sampling:
            return
        loads = [
            target.agent.core.admission.load
            for target in self._deployment.targets.values()
            if isinstance(target.resource, EngineResource)
        ]
        mean = sum(loads) / max(1, len(loads))
        if mean >= FLOOR_WORK_UNITS:
            self._summary.skews.append(max(loads) / mean)
        self._reactor.callLater(SAMPLE_INTERVAL_SECONDS, self._sample_load_skew)


def _quantile(values: list[float], fraction: float) -> float:
    """Return the value that the given fraction of the values does not exceed."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
