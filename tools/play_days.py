"""Play the day files of the deploy folder on a bench and sum up what they show.

The days stand in ``deploy/days/``, one a file, in the form that the bench plays.
Each is played by itself and summed up as one row: broken rules, share served,
worth, worst windows, largest prices.

    python tools/play_days.py --bench PATH --site SITE.toml --why "..." [NAME ...]
    python tools/play_days.py ... --tenth --seed 7       (a tenth of them, drawn)
    python tools/play_days.py ... --pairs 40 --seed 7    (two days over each other)
    python tools/play_days.py ... --vary --seed 7        (other times and figures)
"""

from __future__ import annotations

import argparse
import concurrent.futures
import dataclasses
import itertools
import json
import math
import pathlib
import random
import subprocess
import sys
import tempfile
import tomllib
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
DAYS = ROOT / "deploy/days"
DRAWN_SHARE = 0.1
PAIRS_SEED = 4242
PLANNED = {
    "release",
    "scale_out",
    "scale_in",
    "config_change",
    "config_storm",
    "big_config",
    "revoke",
    "hup",
    "roll_term",
    "add_nodes",
    "evacuate",
}
HEAD = (
    "| day | rules broken | served | worth | worst windows | prices |\n"
    "| --- | --- | --- | --- | --- | --- |\n"
)


class DayError(Exception):
    """A day file that cannot be played; the message names it and the remedy."""


@dataclasses.dataclass(frozen=True)
class Day:
    """A day to play.

    Attributes
    ----------
    name : str
        Label of the day, for rows and files.
    text : str
        The day file.
    """

    name: str
    text: str

    @property
    def table(self) -> dict[str, Any]:
        """The day as the bench reads it."""
        days = tomllib.loads(self.text).get("day", [])
        if len(days) != 1:
            raise DayError(f"{self.name}: {len(days)} days in a file; write one")
        table: dict[str, Any] = days[0]
        return table

    @property
    def troubles(self) -> list[dict[str, Any]]:
        """Planned work and faults alike."""
        return [*self.table["plan"], *self.table["faults"]]


def read_days(names: list[str], folder: pathlib.Path = DAYS) -> list[Day]:
    """Return the days of these names, or all, in the order of their names.

    Raises
    ------
    DayError
        If there is no day of a name, or its file holds more than one.
    """
    found = {
        path.stem: Day(path.stem, path.read_text())
        for path in sorted(folder.glob("*.toml"))
    }
    unknown = sorted(set(names) - set(found))
    if unknown:
        raise DayError(
            f"no day file {', '.join(unknown)}; there are {', '.join(found)}"
        )
    days = [day for name, day in found.items() if not names or name in names]
    for day in days:
        if day.table["name"] != day.name:
            raise DayError(f"{day.name}: the day is called {day.table['name']} within")
    return days


def draw(days: list[Day], seed: int) -> list[Day]:
    """Return a tenth of the days, at least one, drawn by a seed."""
    count = math.ceil(len(days) * DRAWN_SHARE)
    return random.Random(seed).sample(days, count)


def draw_pairs(days: list[Day], count: int, seed: int) -> list[Day]:
    """Return days that each lay the troubles of two others over each other."""
    pairs = list(itertools.combinations(days, 2))
    return [
        Day(
            f"{one.name}+{other.name}",
            day_text(
                f"{one.name}+{other.name}",
                [inline(item) for item in (*one.troubles, *other.troubles)],
                seed,
            ),
        )
        for one, other in random.Random(seed).sample(pairs, count)
    ]


def inline(trouble: dict[str, Any]) -> str:
    """Return a trouble as a line of a day file."""
    return ", ".join(f"{name} = {json.dumps(value)}" for name, value in trouble.items())


def day_text(name: str, troubles: list[str], seed: int) -> str:
    """Return a day file of troubles that are given as lines."""
    lists: dict[str, list[str]] = {"plan": [], "faults": []}
    for trouble in troubles:
        kind = tomllib.loads(f"trouble = {{ {trouble.strip()} }}")["trouble"]["kind"]
        part = "plan" if kind in PLANNED else "faults"
        lists[part].append(f"  {{ {trouble.strip()} }},")
    lines = ["[[day]]", f'name = "{name}"', 'slot = "trouble"', f"seed = {seed}"]
    lines += ["one = 0.6", "zero = 0.2", "labels = []", "wall = 2.0", "light = false"]
    for part, items in lists.items():
        lines += [f"{part} = [", *items, "]"]
    return "\n".join(lines) + "\n"


def command(
    arguments: argparse.Namespace, day: Day, file: pathlib.Path, report: pathlib.Path
) -> list[str]:
    """Return the words that play a day."""
    words = [arguments.bench, "run", arguments.site, str(file), "--jobs", "1"]
    words += ["--report", str(report), "--why", f"{arguments.why}: day {day.name}"]
    if arguments.keep:
        words += ["--log", "all"]
    if arguments.vary:
        words += ["--vary"]
    # Without a seed of its own each day keeps the one in its file.
    if arguments.seed is not None:
        words += ["--seed", str(arguments.seed)]
    return words


def play(arguments: argparse.Namespace, day: Day) -> str:
    """Play one day and return its row."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(arguments.keep or name)
        file = folder / f"{day.name}.toml"
        file.write_text(day.text)
        report = folder / f"{day.name}.json"
        words = command(arguments, day, file, report)
        done = subprocess.run(words, capture_output=True, text=True, check=False)
        if arguments.keep:
            (folder / f"{day.name}.txt").write_text(done.stdout + done.stderr)
        if not report.exists():
            told = [x for x in done.stderr.splitlines() if "number" not in x]
            return f"| {day.name} | not played: {' '.join(told)[-200:].strip()} |"
        return row(day.name, json.loads(report.read_text()))


def broken(report: dict[str, Any]) -> list[str]:
    """Return what a day broke: rules, other demands of the gate, ends, faults."""
    told = [f"{rule} {count}" for rule, count in sorted(report["breaks"].items())]
    told += [str(item) for item in report["short"]]
    if report["fault"]:
        told.append(f"fault: {report['fault']}")
    if report["exits_n"]:
        told.append(f"{report['exits_n']} ended by themselves")
    return told


def row(name: str, report: dict[str, Any]) -> str:
    """Sum up the report of one day."""
    worst = {part: value for part, _, value in report["parts"]}.get("worst windows")
    prices = sorted(((cost, what) for what, _, cost in report["prices"]), reverse=True)
    told = ", ".join(f"{cost:.3f} {what}" for cost, what in prices[:3])
    figures = f"{report['served']:.3f} | {report['G']:.3f} | {worst:.3f}"
    return f"| {name} | {', '.join(broken(report)) or 'none'} | {figures} | {told} |"


def chosen(arguments: argparse.Namespace) -> list[Day]:
    """Return the days that the arguments ask for."""
    days = read_days(arguments.names)
    seed = PAIRS_SEED if arguments.seed is None else arguments.seed
    if arguments.pairs:
        return draw_pairs(days, arguments.pairs, seed)
    return draw(days, seed) if arguments.tenth else days


def parser() -> argparse.ArgumentParser:
    """Return the reader of the command line."""
    reader = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    reader.add_argument("--bench", required=True)
    reader.add_argument("--site", required=True)
    reader.add_argument("--why", required=True)
    reader.add_argument("--seed", type=int, help="in place of each file's own")
    reader.add_argument("--jobs", type=int, default=4, help="days at a time")
    reader.add_argument("--keep", default="", help="folder for logs and reports")
    reader.add_argument("--vary", action="store_true", help="other times and figures")
    reader.add_argument("--tenth", action="store_true", help="draw a tenth of them")
    reader.add_argument(
        "--pairs", type=int, default=0, help="play so many pairs of days instead"
    )
    reader.add_argument("names", nargs="*")
    return reader


def main() -> None:
    """Play the days and print a table."""
    arguments = parser().parse_args()
    if arguments.keep:
        pathlib.Path(arguments.keep).mkdir(parents=True, exist_ok=True)
    try:
        days = chosen(arguments)
    except DayError as fault:
        sys.exit(str(fault))
    sys.stdout.write(HEAD)
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        for line in pool.map(lambda day: play(arguments, day), days):
            sys.stdout.write(line + "\n")
            sys.stdout.flush()


if __name__ == "__main__":
    main()
