"""A deployment in one process: routers, agents and stand-ins for the rest.

All of them communicate over TCP on the loopback interface.
"""

from __future__ import annotations

import base64
import hashlib
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from twisted.internet.defer import Deferred
from twisted.internet.defer import inlineCallbacks
from twisted.protocols.policies import WrappingFactory
from twisted.web.server import Site

from primrosescale.connection.endpoint import Endpoint
from primrosescale.process.daemons.agent import Agent
from primrosescale.process.daemons.daemon import DaemonContext
from primrosescale.process.daemons.router import Router
from primrosescale.process.settings import read_settings
from primrosescale.process.transport.http_platform import HttpPlatform
from primrosescale.standin.engine import EngineResource
from primrosescale.standin.engine import EngineSettings
from primrosescale.standin.exceptions import StandInError
from primrosescale.standin.memory_platform import MemoryPlatform
from primrosescale.standin.object_store import ObjectStore
from primrosescale.standin.object_store import StoreSettings
from primrosescale.standin.plain_service import PlainServiceResource
from primrosescale.standin.platform_site import PlatformResource
from primrosescale.version.head import sign

if TYPE_CHECKING:
    from collections.abc import Generator

    from primrosescale.standin.demo_client import DemoClient

LOOPBACK = "127.0.0.1"
REGION = "riga"
DOMAINS = ("d1", "d2", "d3", "d4")
ENGINE_COUNT = 5
PORTAL_COUNT = 4
ROUTER_COUNT = 3
MODEL_SERVICE = "assistant"
PLAIN_SERVICE = "portal"
MODEL = "riga-assistant"
AUTHOR_KEY = "demo-author-key"
APPROVER_KEY = "demo-approver-key"
FLOOR_WORK_UNITS = 600
TOKENS_PER_SECOND = 60.0
SETTLE_POLL_SECONDS = 0.05
MAX_SETTLE_POLLS = 200
ORGANISATIONS = (
    ("grid-exchange", 4),
    ("portal-north", 4),
    ("portal-south", 2),
    ("housing-union", 1),
    ("bakery", 1),
    ("school-7", 1),
    ("parish", 1),
    ("workshop", 1),
    ("kiosk", 1),
    ("allotments", 1),
)


def organisation_key(name: str) -> str:
    """Return the bearer key of an organisation in the deployment.

    Parameters
    ----------
    name : str
        The organisation.

    Returns
    -------
    str
        Its key.
    """
    return f"demo-key-{name}"


@dataclass(slots=True)
class DeployedTarget:
    """A target and the agent in front of it.

    Parameters
    ----------
    name : str
        The agent's name.
    service : str
        Its service.
    domain : str
        Its failure domain.
    resource : EngineResource | PlainServiceResource
        The stand-in for the target.
    port : Any
        The port on which the stand-in listens.
    agent : Agent
        The agent in front of it.
    """

    name: str
    service: str
    domain: str
    resource: EngineResource | PlainServiceResource
    port: Any
    agent: Agent


class Deployment:
    """Routers, agents and targets of the region riga, on stand-ins.

    Parameters
    ----------
    reactor : Any
        Twisted's reactor.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._store = ObjectStore(StoreSettings(), reactor.seconds())
        self._platform_port: Any = None
        self._routers: list[Router] = []
        self._targets: dict[str, DeployedTarget] = {}
        self._runs: Counter[str] = Counter()
        self._signing = Ed25519PrivateKey.generate()
        self._platforms: list[HttpPlatform] = []

    @property
    def store(self) -> ObjectStore:
        """Return the platform's object store."""
        return self._store

    @property
    def routers(self) -> list[Router]:
        """Return the routers."""
        return self._routers

    @property
    def targets(self) -> dict[str, DeployedTarget]:
        """Return the targets by name."""
        return self._targets

    @property
    def runs(self) -> Counter[str]:
        """Return how often the portal service ran each case."""
        return self._runs

    @inlineCallbacks
    def start(self, client: DemoClient) -> Generator[Any, Any, None]:
        """Start all processes and roll out the first bundle.

        Parameters
        ----------
        client : DemoClient
            Client for the operators' calls.

        Returns
        -------
        Deferred[None]
            Fires when the bundle is in force everywhere.
        """
        resource = PlatformResource(MemoryPlatform(self._store, self._reactor))
        self._platform_port = self._listen(resource)
        for number in range(ROUTER_COUNT):
            yield self._start_router(number)
        for number in range(ENGINE_COUNT):
            yield self.start_target(f"engine-{number + 1}", MODEL_SERVICE, number)
        for number in range(PORTAL_COUNT):
            yield self.start_target(f"portal-{number + 1}", PLAIN_SERVICE, number)
        yield self.roll_out(client, self.bundle_text())
        yield self.settle(1)

    @inlineCallbacks
    def stop(self) -> Generator[Any, Any, None]:
        """Stop all processes and close their ports.

        Returns
        -------
        Deferred[None]
            Fires when all ports are closed.
        """
        for target in list(self._targets.values()):
            yield target.agent.stop()
            yield target.port.stopListening()
        for router in self._routers:
            yield router.stop()
        for platform in self._platforms:
            yield platform.close()
        yield self._platform_port.stopListening()

    @inlineCallbacks
    def start_target(
        self,
        name: str,
        service: str,
        number: int,
    ) -> Generator[Any, Any, None]:
        """Start a target and its agent.

        Parameters
        ----------
        name : str
            Name of the agent.
        service : str
            Its service.
        number : int
            Number from which its failure domain follows.

        Returns
        -------
        Deferred[None]
            Fires when the agent has joined.
        """
        domain = DOMAINS[number % len(DOMAINS)]
        resource = self._make_resource(name, service)
        port = self._listen(resource)
        agent = self._make_agent(name, service, domain, port.getHost().port)
        agent.listen()
        self._targets[name] = DeployedTarget(
            name, service, domain, resource, port, agent
        )
        yield agent.start()

    @inlineCallbacks
    def stop_target(self, name: str) -> Generator[Any, Any, None]:
        """Stop a target gracefully, its agent first.

        Parameters
        ----------
        name : str
            Name of the agent.

        Returns
        -------
        Deferred[None]
            Fires when both have stopped.
        """
        target = self._targets.pop(name)
        yield target.agent.stop()
        yield target.port.stopListening()

    @inlineCallbacks
    def restart_target(self, name: str) -> Generator[Any, Any, None]:
        """Restart a target behind its agent, with the same name and address.

        Its connections are aborted and its state is lost. A target that moves to
        another address is stopped with `stop_target` and started with a new agent.

        Parameters
        ----------
        name : str
            Name of the agent.

        Returns
        -------
        Deferred[None]
            Fires when the new incarnation accepts calls.
        """
        target = self._targets[name]
        number = target.port.getHost().port
        connections = list(target.port.factory.protocols)
        yield target.port.stopListening()
        for connection in connections:
            connection.transport.abortConnection()
        target.resource = self._make_resource(name, target.service)
        target.port = self._listen(target.resource, number)

    def write_foreign_hosts(self, entries: list[Any]) -> None:
        """Put entries of another writer into the list of hosts.

        Parameters
        ----------
        entries : list[Any]
            Entries beside the fleet's own; empty to remove them.
        """
        self._store.foreign_hosts = entries

    @inlineCallbacks
    def roll_out(self, client: DemoClient, text: str) -> Generator[Any, Any, int]:
        """Create, sign and roll out a bundle through the admin API.

        Parameters
        ----------
        client : DemoClient
            Client for the calls.
        text : str
            The bundle's INI text.

        Returns
        -------
        Deferred[int]
            The bundle's version.
        """
        base = f"http://{LOOPBACK}:{self._routers[0].admin_port}/admin/v1"
        created = yield client.json("POST", f"{base}/bundles", AUTHOR_KEY, text)
        digest = str(created["digest"])
        signature = sign(digest, self._signing.private_bytes_raw())
        body = {"signature": signature.hex()}
        url = f"{base}/bundles/{digest}/sign-off"
        yield client.json("PUT", url, APPROVER_KEY, body)
        yield client.json("POST", f"{base}/head", AUTHOR_KEY, {"digest": digest})
        return int(created["version"])

    @inlineCallbacks
    def settle(self, version: int) -> Generator[Any, Any, None]:
        """Wait until a version is in force everywhere and all members are known.

        Parameters
        ----------
        version : int
            The version.

        Returns
        -------
        Deferred[None]
            Fires then; fails with `StandInError` after `MAX_SETTLE_POLLS` polls.
        """
        for _ in range(MAX_SETTLE_POLLS):
            versions = [router.version_manager.version for router in self._routers]
            versions += [
                t.agent.version_manager.version for t in self._targets.values()
            ]
            known = [len(router.members) for router in self._routers]
            expected = ROUTER_COUNT + len(self._targets)
            if min(versions) >= version and min(known) >= expected:
                return
            yield self.pause(SETTLE_POLL_SECONDS)
        raise StandInError(
            "the deployment did not settle in time", "see the log for the cause"
        )

    def pause(self, seconds: float) -> Deferred[None]:
        """Wait for some time.

        Parameters
        ----------
        seconds : float
            Time to wait, in seconds.

        Returns
        -------
        Deferred[None]
            Fires after that time.
        """
        result: Deferred[None] = Deferred()
        self._reactor.callLater(seconds, result.callback, None)
        return result

    def bundle_text(self, *, limit: float = 0.0) -> str:
        """Return the text of the deployment's bundle.

        Parameters
        ----------
        limit : float
            Rate limit of each organisation in requests a second; 0 for none.

        Returns
        -------
        str
            INI text.
        """
        blocks = [
            f"[model {MODEL}]\nversion = 3",
            _model_service(),
            f"[service {PLAIN_SERVICE}]\nkind = plain\nnon_idempotent = POST /switches",
        ]
        for name, weight in ORGANISATIONS:
            digest = hashlib.sha256(organisation_key(name).encode()).hexdigest()
            blocks.append(
                f"[organisation {name}]\nkey_hashes = {digest}\nweight = {weight}\n"
                f"requests_per_second = {limit}",
            )
        return "\n\n".join(blocks) + "\n"

    @inlineCallbacks
    def _start_router(self, number: int) -> Generator[Any, Any, None]:
        text = self._common_settings(f"router-{number + 1}", "router", DOMAINS[number])
        text += "[router]\nport = 0\nadmin_port = 0\nlink_port = 0\n"
        settings = read_settings(text, "router")
        context = DaemonContext(settings, self._reactor)
        router = Router(settings, context, self._make_platform_client())
        router.listen()
        self._routers.append(router)
        yield router.start()

    def _make_agent(self, name: str, service: str, domain: str, port: int) -> Agent:
        seeds = ", ".join(f"{LOOPBACK}:{r.link_port}" for r in self._routers)
        text = self._common_settings(name, "agent", domain)
        text += (
            f"[agent]\nservice = {service}\ntarget_port = {port}\nport = 0\n"
            f"routers = {seeds}\n"
        )
        settings = read_settings(text, "agent")
        context = DaemonContext(settings, self._reactor)
        return Agent(settings, context, self._make_platform_client())

    def _common_settings(self, name: str, role: str, domain: str) -> str:
        public = self._signing.public_key().public_bytes_raw()
        approver = base64.b64encode(public).decode()
        author_hash = hashlib.sha256(AUTHOR_KEY.encode()).hexdigest()
        approver_hash = hashlib.sha256(APPROVER_KEY.encode()).hexdigest()
        platform_port = self._platform_port.getHost().port
        return (
            f"[process]\nname = {name}\nrole = {role}\ndomain = {domain}\n"
            f"region = {REGION}\nstop_within = 10\n"
            f"[platform]\nport = {platform_port}\n"
            "[sums]\ninterval = 0.25\n"
            f"[trust]\napprovers = approver:{approver}\n"
            f"operators = author:{author_hash}, approver:{approver_hash}\n"
        )

    def _make_platform_client(self) -> HttpPlatform:
        endpoint = Endpoint(LOOPBACK, self._platform_port.getHost().port)
        platform = HttpPlatform(self._reactor, endpoint, 2.0)
        self._platforms.append(platform)
        return platform

    def _make_resource(
        self, name: str, service: str
    ) -> EngineResource | PlainServiceResource:
        if service == MODEL_SERVICE:
            settings = EngineSettings(tokens_per_second=TOKENS_PER_SECOND)
            return EngineResource(settings, self._reactor)
        return PlainServiceResource(name, 0.01, self._reactor, self._runs)

    def _listen(self, resource: Any, number: int = 0) -> Any:
        """Serve a resource on a port whose factory keeps track of its connections."""
        site = Site(resource)
        site.noisy = False
        factory = WrappingFactory(site)
        factory.noisy = False
        return self._reactor.listenTCP(number, factory, interface=LOOPBACK)


def _model_service() -> str:
    return (
        f"[service {MODEL_SERVICE}]\nkind = model\nmodels = {MODEL}\n"
        f"floor = {FLOOR_WORK_UNITS}"
    )
