"""Runs an entry router on the users' platform.

Nothing but the handlers of signals is loaded before they are set: a signal
that comes while the rest is loaded would end a process that has none.
"""

import signal
import sys


def main() -> int:
    """Run until SIGTERM; see `program.run`."""
    pending: list[int] = []
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, lambda received, _: pending.append(received))
    from primrosescale.platform.program import run  # noqa: PLC0415

    return run(pending)


if __name__ == "__main__":
    sys.exit(main())
