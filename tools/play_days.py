"""Play the scenarios (days) of the deploy folder and summarise their reports.

A day file in ``deploy/days/`` scripts planned operations and faults in the format of
the play program, which ``--bench`` names. Each day is played by itself and summarised
as one row: broken rules, share of requests served, worth, worst windows, and the
largest prices.

    python tools/play_days.py --bench PATH --site SITE.toml --why "..." [NAME ...]
    python tools/play_days.py ... --tenth --seed 7       (a random tenth of them)
    python tools/play_days.py ... --pairs 40 --seed 7    (two days at once)
    python tools/play_days.py ... --vary --seed 7        (varied times and figures)
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
DEFAULT_DRAW_SEED = 4242
PLANNED_KINDS = {
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
TABLE_HEAD = (
    "| day | rules broken | served | worth | worst windows | prices |\n"
    "| --- | --- | --- | --- | --- | --- |\n"
)


class DayError(Exception):
    """A day file that cannot be played; the message names the file and the problem."""


@dataclasses.dataclass(frozen=True)
class Day:
    """A scenario to play.

    Attributes
    ----------
    name : str
        Name of the day in table rows and file names.
    text : str
        Content of the day file.
    """

    name: str
    text: str

    @property
    def table(self) -> dict[str, Any]:
        """The parsed ``[[day]]`` table."""
        days = tomllib.loads(self.text).get("day", [])
        if len(days) != 1:
            raise DayError(f"{self.name}: {len(days)} days in a file; expected one")
        table: dict[str, Any] = days[0]
        return table

    @property
    def troubles(self) -> list[dict[str, Any]]:
        """Planned operations, then faults."""
        return [*self.table["plan"], *self.table["faults"]]


def read_days(names: list[str], folder: pathlib.Path = DAYS) -> list[Day]:
    """Return the days with these names, or all, sorted by name.

    Raises
    ------
    DayError
        If a name has no file, or a file does not hold exactly one day of its name.
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
            raise DayError(
                f"{day.name}: the day in this file is named {day.table['name']}"
            )
    return days


def draw(days: list[Day], seed: int) -> list[Day]:
    """Return a random tenth of the days, rounded up."""
    count = math.ceil(len(days) * DRAWN_SHARE)
    return random.Random(seed).sample(days, count)


def draw_pairs(days: list[Day], count: int, seed: int) -> list[Day]:
    """Return days that each combine the troubles of a random pair of days."""
    pairs = list(itertools.combinations(days, 2))
    return [
        Day(
            f"{one.name}+{other.name}",
            day_text(
                f"{one.name}+{other.name}",
                [inline_table(item) for item in (*one.troubles, *other.troubles)],
                seed,
            ),
        )
        for one, other in random.Random(seed).sample(pairs, count)
    ]


def inline_table(trouble: dict[str, Any]) -> str:
    """Return a trouble as the content of an inline TOML table."""
    return ", ".join(f"{name} = {json.dumps(value)}" for name, value in trouble.items())


def day_text(name: str, troubles: list[str], seed: int) -> str:
    """Return a day file with troubles given as contents of inline TOML tables."""
    lists: dict[str, list[str]] = {"plan": [], "faults": []}
    for trouble in troubles:
        kind = tomllib.loads(f"trouble = {{ {trouble.strip()} }}")["trouble"]["kind"]
        part = "plan" if kind in PLANNED_KINDS else "faults"
        lists[part].append(f"  {{ {trouble.strip()} }},")
    lines = ["[[day]]", f'name = "{name}"', 'slot = "trouble"', f"seed = {seed}"]
    lines += ["one = 0.6", "zero = 0.2", "labels = []", "wall = 2.0", "light = false"]
    for part, items in lists.items():
        lines += [f"{part} = [", *items, "]"]
    return "\n".join(lines) + "\n"


def command(
    arguments: argparse.Namespace, day: Day, file: pathlib.Path, report: pathlib.Path
) -> list[str]:
    """Return the command line that plays a day."""
    command_line = [arguments.bench, "run", arguments.site, str(file), "--jobs", "1"]
    command_line += [
        "--report",
        str(report),
        "--why",
        f"{arguments.why}: day {day.name}",
    ]
    if arguments.keep:
        command_line += ["--log", "all"]
    if arguments.vary:
        command_line += ["--vary"]
    # Without a seed on the command line each day keeps the one in its file.
    if arguments.seed is not None:
        command_line += ["--seed", str(arguments.seed)]
    return command_line


def play(arguments: argparse.Namespace, day: Day) -> str:
    """Play one day and return its table row."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(arguments.keep or name)
        file = folder / f"{day.name}.toml"
        file.write_text(day.text)
        report = folder / f"{day.name}.json"
        command_line = command(arguments, day, file, report)
        done = subprocess.run(command_line, capture_output=True, text=True, check=False)
        if arguments.keep:
            (folder / f"{day.name}.txt").write_text(done.stdout + done.stderr)
        if not report.exists():
            errors = [x for x in done.stderr.splitlines() if "number" not in x]
            return f"| {day.name} | not played: {' '.join(errors)[-200:].strip()} |"
        return row(day.name, json.loads(report.read_text()))


def violations(report: dict[str, Any]) -> list[str]:
    """Return the violations: rules, other requirements, faults, unexpected exits."""
    found = [f"{rule} {count}" for rule, count in sorted(report["breaks"].items())]
    found += [str(item) for item in report["short"]]
    if report["fault"]:
        found.append(f"fault: {report['fault']}")
    if report["exits_n"]:
        found.append(f"{report['exits_n']} ended by themselves")
    return found


def row(name: str, report: dict[str, Any]) -> str:
    """Return the table row for the report of a day."""
    worst = {part: value for part, _, value in report["parts"]}.get("worst windows")
    prices = sorted(((cost, what) for what, _, cost in report["prices"]), reverse=True)
    largest = ", ".join(f"{cost:.3f} {what}" for cost, what in prices[:3])
    figures = f"{report['served']:.3f} | {report['G']:.3f} | {worst:.3f}"
    return f"| {name} | {', '.join(violations(report)) or 'none'} | {figures} | {largest} |"


def select_days(arguments: argparse.Namespace) -> list[Day]:
    """Return the days that the arguments select."""
    days = read_days(arguments.names)
    seed = DEFAULT_DRAW_SEED if arguments.seed is None else arguments.seed
    if arguments.pairs:
        return draw_pairs(days, arguments.pairs, seed)
    return draw(days, seed) if arguments.tenth else days


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--bench", required=True)
    parser.add_argument("--site", required=True)
    parser.add_argument("--why", required=True)
    parser.add_argument("--seed", type=int, help="seed instead of the one in each file")
    parser.add_argument("--jobs", type=int, default=4, help="days played at a time")
    parser.add_argument("--keep", default="", help="folder to keep logs and reports in")
    parser.add_argument("--vary", action="store_true", help="vary times and figures")
    parser.add_argument(
        "--tenth", action="store_true", help="play a random tenth of the days"
    )
    parser.add_argument(
        "--pairs", type=int, default=0, help="play this many random pairs instead"
    )
    parser.add_argument("names", nargs="*")
    return parser


def main() -> None:
    """Play the days and print a table of the results."""
    arguments = make_parser().parse_args()
    if arguments.keep:
        pathlib.Path(arguments.keep).mkdir(parents=True, exist_ok=True)
    try:
        days = select_days(arguments)
    except DayError as error:
        sys.exit(str(error))
    sys.stdout.write(TABLE_HEAD)
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        for line in pool.map(lambda day: play(arguments, day), days):
            sys.stdout.write(line + "\n")
            sys.stdout.flush()


if __name__ == "__main__":
    main()
