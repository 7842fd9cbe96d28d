"""Loads the settings of a process and runs it until SIGTERM or SIGINT."""

from __future__ import annotations

import gc
import signal
import sys
from typing import TYPE_CHECKING
from typing import Any

from absl import flags

from primrosescale.console.exceptions import UsageError
from primrosescale.console.exit_codes import ExitCode
from primrosescale.process.events import LogFile
from primrosescale.process.settings import load_settings

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.defer import Deferred

    from primrosescale.process.settings import Settings

GC_THRESHOLD_OBJECTS = 20_000


def define_settings(values: flags.FlagValues) -> None:
    """Define the flag that names the settings file.

    Parameters
    ----------
    values : flags.FlagValues
        Set to which the flag is added.
    """
    flags.DEFINE_string(
        "settings",
        "",
        "INI file with the settings of the process",
        flag_values=values,
    )


def settings_for(values: flags.FlagValues, role: str) -> Settings:
    """Load the settings file that the flag names.

    Parameters
    ----------
    values : flags.FlagValues
        Parsed flags.
    role : str
        Role that the file must be for.

    Returns
    -------
    Settings
        Validated settings.

    Raises
    ------
    UsageError
        When no file is named or the file is for another role.
    """
    path = values["settings"].value
    if not path:
        raise UsageError("no settings file", "pass one with --settings")
    settings = load_settings(path)
    if settings.process.role != role:
        raise UsageError(
            f"[process] role = {settings.process.role}, not {role}",
            f"run 'primrosescale {settings.process.role}' or correct the file",
        )
    return settings


def run_daemon(
    settings: Settings,
    start: Callable[[], Deferred[Any]],
    stop: Callable[[], Deferred[Any]],
) -> ExitCode:
    """Run a daemon until SIGTERM or SIGINT, then stop it gracefully.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    start : Callable[[], Deferred[Any]]
        Starts the daemon; called with the reactor running.
    stop : Callable[[], Deferred[Any]]
        Stops the daemon; the process ends when the Deferred fires.

    Returns
    -------
    ExitCode
        `ExitCode.FAILED` when starting or stopping failed.
    """
    from twisted.internet import reactor as installed  # noqa: PLC0415

    reactor: Any = installed
    result = [ExitCode.OK]
    log = LogFile(settings.telemetry.log)
    stopping: list[bool] = []

    def fail(failure: Any) -> None:
        sys.stderr.write(f"primrosescale: {failure.getErrorMessage()}\n")
        result[0] = ExitCode.FAILED
        if reactor.running:
            reactor.stop()

    def terminate(*_: Any) -> None:
        if stopping:
            return
        stopping.append(True)
        stopped = stop()
        stopped.addCallbacks(lambda _: reactor.stop(), fail)

    def begin() -> None:
        signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(terminate))
        signal.signal(signal.SIGINT, lambda *_: reactor.callFromThread(terminate))
        try:
            started = start()
        except Exception as error:  # noqa: BLE001 - every failure to start ends here
            sys.stderr.write(f"primrosescale: cannot start: {error}\n")
            result[0] = ExitCode.FAILED
            reactor.stop()
            return
        started.addErrback(fail)
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD_OBJECTS)

    reactor.callWhenRunning(begin)
    reactor.run(installSignalHandlers=False)
    log.close()
    return result[0]
