"""Orders an engine towards the configuration, level-triggered and fenced.

Each agent alone orders its own engine. Its fencing number comes from a
conditional increment in the platform, so that a successor's is higher. An
engine that checks fences refuses a late order of a paused predecessor; one
that does not is compared with the configuration again and again, so that such
an order has no lasting effect.
"""

from __future__ import annotations

import json
from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import inlineCallbacks

from primrosescale.process.exceptions import PlatformConflictError
from primrosescale.process.exceptions import PlatformError
from primrosescale.process.exceptions import TargetError
from primrosescale.process.transport.platform import MUST_NOT_EXIST

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Generator

    from primrosescale.process.transport.engine_port import EnginePort
    from primrosescale.process.transport.platform import Platform
    from primrosescale.process.transport.platform import StoredObject
    from primrosescale.version.view import VersionView

FENCE_PREFIX = "fences/"
PROGRESS_PREFIX = "config/model-progress/"
SLOT_PREFIX = "weights/slot-"
WEIGHT_SLOTS = 8
SLOT_LEASE_SECONDS = 60.0
REQUIRED_HEALTHY_ROUNDS = 3


@dataclass(frozen=True, slots=True)
class OrderSettings:
    """Who orders which engine.

    Parameters
    ----------
    agent : str
        The agent's name.
    service : str
        Its service.
    domain : str
        Its failure domain.
    incarnation : int
        Its incarnation.
    checks_fence : bool
        Whether the engine refuses an order with an old fencing number.
    """

    agent: str
    service: str
    domain: str
    incarnation: int
    checks_fence: bool


@dataclass(frozen=True, slots=True)
class DesiredEngineState:
    """What the configuration wants an engine to run.

    Parameters
    ----------
    model : str
        The model.
    version : str
        Its version.
    adapters : tuple[str, ...]
        Its adapters.
    role : str
        The engine's role.
    domains : tuple[str, ...]
        Failure domains in the order of a roll-out; empty for all at once.
    error_limit : float
        Share of failed answers above which the roll-out stops.
    """

    model: str
    version: str
    adapters: tuple[str, ...]
    role: str
    domains: tuple[str, ...]
    error_limit: float

    def is_met_by(self, state: dict[str, Any]) -> bool:
        """Tell whether an engine runs what is wanted.

        Parameters
        ----------
        state : dict[str, Any]
            What the engine says of itself.

        Returns
        -------
        bool
            True when nothing is to be ordered.
        """
        return (
            state.get("model") == self.model
            and state.get("version") == self.version
            and list(state.get("adapters", [])) == list(self.adapters)
            and state.get("role", "mixed") == self.role
        )


def desired_state_of(
    view: VersionView, service: str, agent: str
) -> DesiredEngineState | None:
    """Return what a version wants of an agent's engine.

    Parameters
    ----------
    view : VersionView
        The version.
    service : str
        The agent's service.
    agent : str
        The agent.

    Returns
    -------
    DesiredEngineState | None
        None when nothing is said.
    """
    record = view.services.get(service)
    if record is None or not record.models:
        return None
    model = view.models.get(record.models[0])
    if model is None:
        return None
    target = view.targets.get(agent)
    role = "mixed" if target is None else target.role
    return DesiredEngineState(
        model.name,
        model.version,
        model.adapters,
        role,
        model.domains,
        model.error_limit,
    )


class OrderObserver(ABC):
    """Is told about orders."""

    @abstractmethod
    def order_sent(self, desired: DesiredEngineState, fence: int) -> None:
        """Take in that an order was sent.

        Parameters
        ----------
        desired : DesiredEngineState
            What was ordered.
        fence : int
            With which fencing number.
        """

    @abstractmethod
    def order_failed(self, detail: str) -> None:
        """Take in that an order or what it needs failed.

        Parameters
        ----------
        detail : str
            Why.
        """

    @abstractmethod
    def roll_out_held(self, desired: DesiredEngineState, domain: str) -> None:
        """Take in that this domain waits for an earlier one.

        Parameters
        ----------
        desired : DesiredEngineState
            What is to be ordered.
        domain : str
            The domain that is not done.
        """


class EngineOrders:
    """Brings one engine to what the configuration wants.

    Parameters
    ----------
    settings : OrderSettings
        Who orders which engine.
    port : EnginePort
        The engine.
    platform : Platform
        Keeps fences, slots and progress.
    observer : OrderObserver
        Told about orders.
    error_share : Callable[[], float]
        Returns the share of failed answers lately.
    wall_clock : Callable[[], float]
        Returns seconds since 1970, for slots.
    """

    def __init__(
        self,
        settings: OrderSettings,
        port: EnginePort,
        platform: Platform,
        observer: OrderObserver,
        error_share: Callable[[], float],
        wall_clock: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._port = port
        self._platform = platform
        self._observer = observer
        self._error_share = error_share
        self._wall_clock = wall_clock
        self._fence = 0
        self._is_busy = False
        self._is_replaced = False
        self._healthy_rounds = 0
        self._slot = ""
        self._reported_state: DesiredEngineState | None = None

    @property
    def fence(self) -> int:
        """Return this agent's fencing number; 0 before it has one."""
        return self._fence

    @property
    def is_replaced(self) -> bool:
        """Tell whether a successor orders the engine now."""
        return self._is_replaced

    @inlineCallbacks
    def tick(self, desired: DesiredEngineState | None) -> Generator[Any, Any, None]:
        """Compare engine and wish once, and order if they differ.

        Parameters
        ----------
        desired : DesiredEngineState | None
            What the configuration wants now.

        Returns
        -------
        Deferred[None]
            When this round is over; never fails for reasons of others.
        """
        if self._is_busy or self._is_replaced or desired is None:
            return
        self._is_busy = True
        try:
            yield self._reconcile(desired)
        except (PlatformError, TargetError) as error:
            self._observer.order_failed(str(error))
        except Exception as error:  # noqa: BLE001 - the engine's connection, say
            self._observer.order_failed(f"{type(error).__name__}: {error}")
        finally:
            self._is_busy = False

    @inlineCallbacks
    def _reconcile(self, desired: DesiredEngineState) -> Generator[Any, Any, None]:
        if not self._fence:
            yield self._acquire_fence()
        data = yield self._port.state()
        if desired.is_met_by(json.loads(data)):
            yield self._report_progress(desired)
            return
        self._healthy_rounds = 0
        self._reported_state = None
        waits_for = yield self._unfinished_earlier_domain(desired)
        if waits_for:
            self._observer.roll_out_held(desired, waits_for)
            return
        is_own = yield self._holds_fence()
        if not is_own:
            self._is_replaced = True
            return
        has_slot = yield self._acquire_slot()
        if has_slot:
            yield self._order(desired)

    @inlineCallbacks
    def _order(self, desired: DesiredEngineState) -> Generator[Any, Any, None]:
        order = {
            "fence": self._fence,
            "model": desired.model,
            "version": desired.version,
            "adapters": list(desired.adapters),
            "role": desired.role,
        }
        self._observer.order_sent(desired, self._fence)
        yield self._port.order(json.dumps(order).encode())

    @inlineCallbacks
    def _acquire_fence(self) -> Generator[Any, Any, None]:
        """Raise the fencing number; a lost answer is read back."""
        key = FENCE_PREFIX + self._settings.agent
        found = yield self._platform.get(key)
        held = _decode_object(found)
        if held.get("owner") == self._settings.incarnation:
            self._fence = int(held["fence"])
            return
        fence = int(held.get("fence", 0)) + 1
        value = {"fence": fence, "owner": self._settings.incarnation}
        expected = MUST_NOT_EXIST if found is None else found.version
        yield self._platform.put(key, json.dumps(value).encode(), expected)
        self._fence = fence

    @inlineCallbacks
    def _holds_fence(self) -> Generator[Any, Any, bool]:
        """Tell whether no successor has a higher number."""
        if self._settings.checks_fence:
            return True
        found = yield self._platform.get(FENCE_PREFIX + self._settings.agent)
        return int(_decode_object(found).get("fence", 0)) <= self._fence

    @inlineCallbacks
    def _unfinished_earlier_domain(
        self, desired: DesiredEngineState
    ) -> Generator[Any, Any, str]:
        """Return the domain that must be done before this one, if any."""
        own = self._settings.domain
        order = desired.domains
        earlier = order[: order.index(own)] if own in order else order
        for domain in earlier:
            found = yield self._platform.get(_progress_key(desired, domain))
            if found is None:
                return str(domain)
        return ""

    @inlineCallbacks
    def _report_progress(
        self, desired: DesiredEngineState
    ) -> Generator[Any, Any, None]:
        """Say that this domain runs a version well, once it has for a while."""
        yield self._release_slot()
        if not desired.domains or self._reported_state == desired:
            return
        if self._error_share() > desired.error_limit:
            self._healthy_rounds = 0
            return
        self._healthy_rounds += 1
        if self._healthy_rounds < REQUIRED_HEALTHY_ROUNDS:
            return
        key = _progress_key(desired, self._settings.domain)
        try:
            yield self._platform.put(key, b"done", MUST_NOT_EXIST)
        except PlatformConflictError:
            # Another agent of the domain has said so already.
            self._reported_state = desired
        else:
            self._reported_state = desired

    @inlineCallbacks
    def _acquire_slot(self) -> Generator[Any, Any, bool]:
        """Take one of the weight store's slots; a lapsed one may be taken.

        Slots only limit the rate at which weights are read, so a holder that
        was paused past its time does no harm.
        """
        now = self._wall_clock()
        lease = {"agent": self._settings.agent, "until": now + SLOT_LEASE_SECONDS}
        value = json.dumps(lease).encode()
        for number in range(WEIGHT_SLOTS):
            key = f"{SLOT_PREFIX}{number}"
            found = yield self._platform.get(key)
            held = _decode_object(found)
            is_free = held.get("until", 0.0) <= now
            if not is_free and held.get("agent") != self._settings.agent:
                continue
            expected = MUST_NOT_EXIST if found is None else found.version
            try:
                yield self._platform.put(key, value, expected)
            except PlatformConflictError:
                continue
            self._slot = key
            return True
        return False

    @inlineCallbacks
    def _release_slot(self) -> Generator[Any, Any, None]:
        key, self._slot = self._slot, ""
        if not key:
            return
        found = yield self._platform.get(key)
        if (
            found is not None
            and _decode_object(found).get("agent") == self._settings.agent
        ):
            free = json.dumps({"agent": "", "until": 0.0}).encode()
            yield self._platform.put(key, free, found.version)


def _progress_key(desired: DesiredEngineState, domain: str) -> str:
    return f"{PROGRESS_PREFIX}{desired.model}/{desired.version}/{domain}"


def _decode_object(found: StoredObject | None) -> dict[str, Any]:
    if found is None:
        return {}
    fields: dict[str, Any] = json.loads(found.value)
    return fields
