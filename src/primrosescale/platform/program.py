"""The program of an entry router on the users' platform.

Nothing is imported that the router does not use: memory and the time to start
are paid for on every host.
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

# Objects that a start leaves behind are never looked at again; collecting
# young ones seldom keeps pauses under a millisecond.
COLLECT_AFTER = 20_000


def run(pending: list[int]) -> int:
    """Run until SIGTERM.

    Parameters
    ----------
    pending : list[int]
        Signals that came before it could run; may still grow.

    Returns
    -------
    int
        Exit status: 0 after a planned stop, 78 for settings that cannot be
        used, 1 when a port is taken.
    """
    # Nothing that is loaded becomes garbage; looking for it takes a tenth of
    # the time to start.
    gc.disable()
    try:
        return _start(own_host_settings(), pending)
    except PrimrosescaleError as error:
        sys.stderr.write(f"primrosescale: {error}\n")
        return os.EX_CONFIG


def _start(host: HostSettings, pending: list[int]) -> int:
    """Let callers connect, then load the rest, which takes 0.4 s, and run it.

    `pending` holds the signals that came before it could run.
    """
    try:
        listening_socket = None if host.callers is None else open_listener(host.callers)
    except OSError as error:
        sys.stderr.write(f"primrosescale: cannot start: {error}\n")
        return 1
    from absl import flags  # noqa: PLC0415 - only once callers can connect

    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    flags.DEFINE_integer(
        "metrics_port", 0, "port of the metrics; 0 for none", flag_values=values
    )
    try:
        values(sys.argv)
    except flags.Error as error:
        sys.stderr.write(f"primrosescale: {error}\n")
        return os.EX_USAGE
    reactor = install_steady_reactor()
    from primrosescale.platform.entry import build_entry_router  # noqa: PLC0415

    metrics_port = int(values["metrics_port"].value or 0)
    rng = random.SystemRandom()
    router = build_entry_router(reactor, host, metrics_port, rng, listening_socket)
    return _run(reactor, router, pending)


def _run(reactor: Any, router: Any, pending: list[int]) -> int:
    """Run the reactor until the router has stopped; see `_start`."""
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
        gc.set_threshold(COLLECT_AFTER)
        gc.enable()
        if signal.SIGTERM in pending:
            terminate()
        elif signal.SIGHUP in pending:
            router.reload()

    reactor.callWhenRunning(begin)
    reactor.run(installSignalHandlers=False)
    return status[0]
