"""Lay the reports of days that were kept side by side, a column a deployment.

Each folder is one that ``play_days.py --keep`` wrote; its name heads the column.
A cell holds the share served and the worth, or the rules that were broken, or that
the deployment does not know the kind of trouble.

    python tools/sum_days.py FOLDER...
"""

from __future__ import annotations

import json
import pathlib
import sys

import play_days

NOT_PLAYED = "not played"
UNKNOWN = "not open"
REFUSAL = "is not open"


def cell(folder: pathlib.Path, name: str) -> str:
    """Return what one day showed on one deployment."""
    report = folder / f"{name}.json"
    if report.exists():
        told = json.loads(report.read_text())
        figures = f"{told['served']:.3f} / {told['G']:.3f}"
        broken = play_days.broken(told)
        return f"**{', '.join(broken)}**, {figures}" if broken else figures
    said = folder / f"{name}.txt"
    refused = said.exists() and REFUSAL in said.read_text()
    return UNKNOWN if refused else NOT_PLAYED


def table(folders: list[pathlib.Path]) -> str:
    """Return the table of all days that any folder holds."""
    names = sorted({path.stem for folder in folders for path in folder.glob("*.toml")})
    lines = [
        ["day", *(folder.name for folder in folders)],
        ["---"] * (len(folders) + 1),
    ]
    lines += [[name, *(cell(folder, name) for folder in folders)] for name in names]
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)


def main() -> None:
    """Print the table."""
    if len(sys.argv) == 1:
        sys.exit(__doc__)
    sys.stdout.write(table([pathlib.Path(word) for word in sys.argv[1:]]))


if __name__ == "__main__":
    main()
