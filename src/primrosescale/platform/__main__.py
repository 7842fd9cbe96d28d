"""Runs an entry router on the users' platform.

The signal handlers are installed before anything else is imported: without
them, a signal that arrives during the imports would end the process.
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
