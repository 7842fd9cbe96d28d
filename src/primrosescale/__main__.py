"""Entry point of ``python -m primrosescale``."""

from __future__ import annotations

from primrosescale.console.application import main

if __name__ == "__main__":
    main()
