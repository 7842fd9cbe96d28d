"""Reconciles an engine with the configuration by fenced orders.

The state of the engine is compared with the configuration periodically
(level-triggered), and an order is sent when they differ. Only the agent beside an
engine sends it orders. The agent's fencing number comes from a conditional increment
in the platform's store, so that its successor's number is higher. An engine that
checks fencing numbers refuses a late order of a paused predecessor; an engine that
does not check them is reconciled again, so that such an order has no lasting effect.

A roll-out goes through failure domains in a configured order: a domain waits until,
in each earlier one, an agent has recorded that its engine runs the version with few
errors. The number of engines that load weights at the same time is limited by leased
slots.
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

    from primrosescale.process.transport.local_engine_client import LocalEngineClient
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
    """Identifies the agent that sends orders and its engine.

    Parameters
    ----------
    agent : str
        Name of the agent.
    service : str
        Service of the agent.
    domain : str
        Failure domain of the agent.
    incarnation : int
        Incarnation of the agent.
    checks_fence : bool
        Whether the engine refuses an order with an outdated fencing number.
    """

    agent: str
    service: str
    domain: str
    incarnation: int
    checks_fence: bool


@dataclass(frozen=True, slots=True)
class DesiredEngineState:
    """Model, version and role that the configuration assigns to an engine.

    Parameters
    ----------
    model : str
        Name of the model.
    version : str
        Version of the model.
    adapters : tuple[str, ...]
        Adapters to load.
    role : str
        Role of the engine.
    domains : tuple[str, ...]
        Failure domains in the order of a roll-out; empty for all at the same
        time.
    error_limit : float
        Share of failed answers above which the roll-out is held.
    """

    model: str
    version: str
    adapters: tuple[str, ...]
    role: str
    domains: tuple[str, ...]
    error_limit: float

    def is_met_by(self, state: dict[str, Any]) -> bool:
        """Return whether an engine is in this state.

        Parameters
        ----------
        state : dict[str, Any]
            State that the engine reports.

        Returns
        -------
        bool
            True when no order is needed.
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
    """Return the state that a version asks of an agent's engine.

    Parameters
    ----------
    view : VersionView
        Configuration version.
    service : str
        Service of the agent.
    agent : str
        Name of the agent.

    Returns
    -------
    DesiredEngineState | None
        None when the version names no model for the service.
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
    """Receives the events of orders."""

    @abstractmethod
    def order_sent(self, desired: DesiredEngineState, fence: int) -> None:
        """Handle that an order is being sent.

        Parameters
        ----------
        desired : DesiredEngineState
            State that is ordered.
        fence : int
            Fencing number of the order.
        """

    @abstractmethod
    def order_failed(self, detail: str) -> None:
        """Handle that an order or a request needed for it failed.

        Parameters
        ----------
        detail : str
            Why it failed.
        """

    @abstractmethod
    def roll_out_held(self, desired: DesiredEngineState, domain: str) -> None:
        """Handle that the roll-out in this domain waits for an earlier domain.

        Parameters
        ----------
        desired : DesiredEngineState
            State that is to be ordered.
        domain : str
            Earlier domain that has not recorded success.
        """


class EngineOrders:
    """Reconciles one engine with the state that the configuration asks for.

    Parameters
    ----------
    settings : OrderSettings
        The agent and its engine.
    engine : LocalEngineClient
        Client of the engine.
    platform : Platform
        Store of fencing numbers, slots and progress.
    observer : OrderObserver
        Notified of orders.
    error_share : Callable[[], float]
        Returns the recent share of failed answers.
    wall_clock : Callable[[], float]
        Returns seconds since the Unix epoch (1970), for the leases of slots.
    """

    def __init__(
        self,
        settings: OrderSettings,
        engine: LocalEngineClient,
        platform: Platform,
        observer: OrderObserver,
        error_share: Callable[[], float],
        wall_clock: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._engine = engine
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
        """Return the fencing number of this agent; 0 before it has one."""
        return self._fence

    @property
    def is_replaced(self) -> bool:
        """Return whether a successor of this agent now orders the engine."""
        return self._is_replaced

    @inlineCallbacks
    def tick(self, desired: DesiredEngineState | None) -> Generator[Any, Any, None]:
        """Compare the engine with the desired state once; send an order if needed.

        Parameters
        ----------
        desired : DesiredEngineState | None
            Desired state; None when the configuration gives none.

        Returns
        -------
        Deferred[None]
            Fires when the comparison is over; errors of the platform and of the
            engine are reported to the observer.
        """
        if self._is_busy or self._is_replaced or desired is None:
            return
        self._is_busy = True
        try:
            yield self._reconcile(desired)
        except (PlatformError, TargetError) as error:
            self._observer.order_failed(str(error))
        except Exception as error:  # noqa: BLE001 - such as errors of the engine's connection
            self._observer.order_failed(f"{type(error).__name__}: {error}")
        finally:
            self._is_busy = False

    @inlineCallbacks
    def _reconcile(self, desired: DesiredEngineState) -> Generator[Any, Any, None]:
        if not self._fence:
            yield self._acquire_fence()
        data = yield self._engine.state()
        if desired.is_met_by(json.loads(data)):
            yield self._report_progress(desired)
            return
        self._healthy_rounds = 0
        self._reported_state = None
        waits_for = yield self._unfinished_earlier_domain(desired)
        if waits_for:
            self._observer.roll_out_held(desired, waits_for)
            return
        holds_fence = yield self._holds_fence()
        if not holds_fence:
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
        yield self._engine.order(json.dumps(order).encode())

    @inlineCallbacks
    def _acquire_fence(self) -> Generator[Any, Any, None]:
        """Increment the fencing number; read it back if an answer was lost."""
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
        """Return whether no successor has a higher fencing number.

        Not looked up for an engine that checks fencing numbers itself.
        """
        if self._settings.checks_fence:
            return True
        found = yield self._platform.get(FENCE_PREFIX + self._settings.agent)
        return int(_decode_object(found).get("fence", 0)) <= self._fence

    @inlineCallbacks
    def _unfinished_earlier_domain(
        self, desired: DesiredEngineState
    ) -> Generator[Any, Any, str]:
        """Return the first earlier domain that has not recorded success, if any."""
        own_domain = self._settings.domain
        order = desired.domains
        earlier = order[: order.index(own_domain)] if own_domain in order else order
        for domain in earlier:
            found = yield self._platform.get(_progress_key(desired, domain))
            if found is None:
                return str(domain)
        return ""

    @inlineCallbacks
    def _report_progress(
        self, desired: DesiredEngineState
    ) -> Generator[Any, Any, None]:
        """Record the domain's success after enough rounds with few errors."""
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
            # Another agent of the domain has already recorded it.
            self._reported_state = desired
        else:
            self._reported_state = desired

    @inlineCallbacks
    def _acquire_slot(self) -> Generator[Any, Any, bool]:
        """Lease one of the slots for loading weights; reuse an expired one.

        Slots only limit the rate at which weights are read from the weight store,
        so a holder that was paused past the end of its lease does no harm.
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
