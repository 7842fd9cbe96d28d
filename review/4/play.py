"""Takes away the last keys of a configuration; see claim.txt."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

from deployment_2 import BOUNDS
from deployment_2 import BROKEN
from deployment_2 import CANNOT_RUN
from deployment_2 import HELD
from deployment_2 import LOOPBACK
from deployment_2 import Consumer
from deployment_2 import Engine
from deployment_2 import EngineSettings
from deployment_2 import Record
from deployment_2 import Router
from deployment_2 import Store
from deployment_2 import configuration
from deployment_2 import has_disruption
from deployment_2 import route
from deployment_2 import run_case
from deployment_2 import until_ready

ZONE = "salle-drummond"
ZONES = {ZONE: "quebec-centre"}
SERVICE = "registre-cour"
KEYS = {"yard-one": "n2ctnfzs989anu6wsjnb", "yard-two": "k8w1qmdz044bpe7yrvua"}
NEVER_HELD = "zzzzzzzzzzzzzzzzzzzz"
NO_KEY = ""
PATHS = ("/record/2f", "/ticket/2f")
GAP_SECONDS = 1.5
# Seconds after `revoke_ms`, so that a slow machine decides nothing.
MARGIN_SECONDS = 0.5


def version(number: int, keys: dict[str, str]) -> dict[str, Any]:
    """Return a configuration in which only the given keys are left."""
    routes = [
        route("depollution-record", "/record/", SERVICE, "unsafe"),
        route("yard-ticket", "/ticket/", SERVICE, "safe"),
    ]
    tenants = [
        {"name": name, "api_keys": [keys[name]] if name in keys else []}
        for name in KEYS
    ]
    return configuration(number, routes, tenants)


class Case:
    """The case: two tenants with a key each, which the operator takes away."""

    def __init__(self, record: Record, routers: list[Router], store: Store) -> None:
        self._record = record
        self._routers = routers
        self._store = store
        self._consumer = Consumer(record)
        self._engines = [
            Engine(
                EngineSettings(f"i-{number}", SERVICE, ZONE), store, record, LOOPBACK
            )
            for number in range(2)
        ]
        self._left = dict(KEYS)

    async def play(self) -> int:
        """Play the case; return its exit status."""
        self._store.put("config", "main", version(1, KEYS))
        for engine in self._engines:
            await engine.start()
        for router in self._routers:
            router.start()
        if not await until_ready(self._routers):
            return CANNOT_RUN
        if await self._count_wrong("with both keys in force"):
            return CANNOT_RUN
        if has_disruption():
            await self._take_keys_away()
        await asyncio.sleep(BOUNDS["revoke_ms"] / 1000 + MARGIN_SECONDS)
        wrong = await self._count_wrong("later than revoke_ms after the last ack")
        self._record.say(f"{wrong} requests ran without a key that is in force")
        return BROKEN if wrong else HELD

    async def _take_keys_away(self) -> None:
        for number, name in enumerate(KEYS, start=2):
            await asyncio.sleep(GAP_SECONDS)
            del self._left[name]
            self._store.put("config", "main", version(number, self._left))
            self._record.say(f"operator: version {number} takes the key of {name} away")

    async def _count_wrong(self, note: str) -> int:
        """Send each key, an unknown one and none; return how many ran wrongly."""
        sent = [
            (key, await self._consumer.send(router, path, key, note=note))
            for router in self._routers
            for path in PATHS
            for key in (*KEYS.values(), NEVER_HELD, NO_KEY)
        ]
        ran = {
            item.request_id: item for each in self._engines for item in each.arrivals
        }
        wrong = 0
        for key, answer in sent:
            arrival = ran.get(answer.request_id)
            is_in_force = key in self._left.values()
            if is_in_force and arrival is None:
                raise RuntimeError(f"{answer.request_id} got {answer.status}")
            if arrival is not None and not is_in_force:
                wrong += 1
                self._record.say(
                    f"{answer.request_id} ran with key {key or '-'}, tenant "
                    f"{arrival.tenant or '-'}, and got {answer.status}"
                )
        return wrong


async def play(record: Record, temporary: Path, routers: list[Router]) -> int:
    """Start the deployment and play the case."""
    store = Store(record)
    await store.start()
    routers += [
        Router(f"front-{number}", f"127.0.8.{number}", ZONES, store, temporary, BOUNDS)
        for number in (1, 2)
    ]
    return await Case(record, routers, store).play()


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
