"""Starts an entry router on the users' platform and runs it until SIGTERM.

Only modules that the router uses are imported, since each one adds memory and
start-up time on every host.
"""

from __future__ import annotations

import gc
import os
import random
import signal
import sys
from typing import TYPE_CHECKING
from typing import Any

from primrosescale.connection.early_listener import open_listener
from primrosescale.connection.steady_reactor import install_steady_reactor
from primrosescale.exceptions import PrimrosescaleError
from primrosescale.platform.host_settings import own_host_settings

if TYPE_CHECKING:
    from primrosescale.platform.host_settings import HostSettings

# Objects that exist after the start are frozen and never collected. Pauses stay under
# a millisecond when the young generation is collected rarely.
GC_THRESHOLD_OBJECTS = 20_000


def run(pending: list[int]) -> int:
    """Run until SIGTERM.

    Parameters
    ----------
    pending : list[int]
        Signals received before the router runs; more may be appended.

    Returns
    -------
    int
        Exit status: 0 after a planned stop, 78 for settings that cannot be used,
        64 for invalid arguments, 1 when a port cannot be opened.
    """
    # Imports create no garbage, and collections would take a tenth of the start-up
    # time.
    gc.disable()
    try:
        return _start_router(own_host_settings(), pending)
    except PrimrosescaleError as error:
        sys.stderr.write(f"primrosescale: {error}\n")
        return os.EX_CONFIG


def _start_router(host: HostSettings, pending: list[int]) -> int:
    """Open the callers' port, import the rest, which takes 0.4 s, and run the router.

    `pending` contains the signals received before the router runs.
    """
    try:
        listening_socket = None if host.callers is None else open_listener(host.callers)
    except OSError as error:
        sys.stderr.write(f"primrosescale: cannot start: {error}\n")
        return 1
    from absl import flags  # noqa: PLC0415 - only after callers can connect

    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    flags.DEFINE_integer(
        "metrics_port",
        0,
        "port on which metrics are served; 0 for none",
        flag_values=values,
    )
    flags.DEFINE_enum(
        "overload_control",
        "on",
        ["on", "off"],
        "services with overload control: those whose targets report their slots (on), "
        "or none (off)",
        flag_values=values,
    )
    try:
        values(sys.argv)
    except flags.Error as error:
        sys.stderr.write(f"primrosescale: {error}\n")
        return os.EX_USAGE
    reactor = install_steady_reactor()
    from primrosescale.platform.entry import RouterOptions  # noqa: PLC0415
    from primrosescale.platform.entry import build_entry_router  # noqa: PLC0415

    options = RouterOptions(
        metrics_port=int(values["metrics_port"].value or 0),
        overload_control=str(values["overload_control"].value),
    )
    rng = random.SystemRandom()
    router = build_entry_router(reactor, host, options, rng, listening_socket)
    return _run_reactor(reactor, router, pending)


def _run_reactor(reactor: Any, router: Any, pending: list[int]) -> int:
    """Run the reactor until the router has stopped; see `_start_router`."""
    from twisted.internet.error import CannotListenError  # noqa: PLC0415

    status = [0]
    stopping: list[bool] = []

    def terminate() -> None:
        if not stopping:
            stopping.append(True)
            router.stop().addBoth(lambda _: reactor.stop())

    def begin() -> None:
        signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(terminate))
        signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(router.reload))
        try:
            router.start()
        except (OSError, CannotListenError) as error:
            sys.stderr.write(f"primrosescale: cannot start: {error}\n")
            status[0] = 1
            reactor.stop()
            return
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD_OBJECTS)
        gc.enable()
        if signal.SIGTERM in pending:
            terminate()
        elif signal.SIGHUP in pending:
            router.reload()

    reactor.callWhenRunning(begin)
    reactor.run(installSignalHandlers=False)
    return status[0]
