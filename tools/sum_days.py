"""Print a table of kept day reports with a column for each deployment.

Each folder is one that ``play_days.py --keep`` wrote; its name heads the column. A
cell holds the share of requests served and the worth, with the rules that were broken,
or says that the day was not played or holds a kind of trouble that is not available
for the deployment.

    python tools/sum_days.py FOLDER...
"""

from __future__ import annotations

import json
import pathlib
import sys

import play_days

NOT_PLAYED = "not played"
NOT_AVAILABLE = "not open"
NOT_AVAILABLE_MESSAGE = "is not open"


def cell(folder: pathlib.Path, name: str) -> str:
    """Return the result of one day on one deployment."""
    report = folder / f"{name}.json"
    if report.exists():
        result = json.loads(report.read_text())
        figures = f"{result['served']:.3f} / {result['G']:.3f}"
        violations = play_days.violations(result)
        return f"**{', '.join(violations)}**, {figures}" if violations else figures
    output = folder / f"{name}.txt"
    refused = output.exists() and NOT_AVAILABLE_MESSAGE in output.read_text()
    return NOT_AVAILABLE if refused else NOT_PLAYED


def table(folders: list[pathlib.Path]) -> str:
    """Return the table of all days that are in any of the folders."""
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
    sys.stdout.write(table([pathlib.Path(argument) for argument in sys.argv[1:]]))


if __name__ == "__main__":
    main()
