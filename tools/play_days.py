"""Play days of our own on a bench and sum up what they show.

The days stand in ``days/kinds.ini``: a section a day, with a line for each
trouble. Each is written as the bench wants it, played, and summed up as one
row: broken rules, worth, share served, worst windows, largest prices.

    python tools/play_days.py --bench PATH --site SITE.toml --why "..." [NAME ...]
    python tools/play_days.py ... --pairs 40 --seed 7    (two days over each other)
"""

from __future__ import annotations

import argparse
import concurrent.futures
import configparser
import itertools
import pathlib
import random
import re
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
DAYS = ROOT / "days/kinds.ini"
PRICE = re.compile(r"^\s+-(0\.\d+)\s+\S+ (.*)")
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
}


def read_days(names: list[str]) -> dict[str, list[str]]:
    """Return the troubles of each day, as lines."""
    found = configparser.ConfigParser(interpolation=None)
    found.read(DAYS)
    wanted = names or found.sections()
    return {
        name: [line for line in found[name]["troubles"].splitlines() if line.strip()]
        for name in wanted
    }


def draw_pairs(
    days: dict[str, list[str]], count: int, seed: int
) -> dict[str, list[str]]:
    """Return days that each lay the troubles of two others over each other."""
    rng = random.Random(seed)
    names = [name for name, troubles in days.items() if troubles]
    pairs = rng.sample(list(itertools.combinations(names, 2)), count)
    return {f"{one}+{other}": days[one] + days[other] for one, other in pairs}


def day_text(name: str, troubles: list[str], seed: int) -> str:
    """Return a day as the bench wants it."""
    lists: dict[str, list[str]] = {"plan": [], "faults": []}
    for trouble in troubles:
        kind = re.search(r'kind = "(\w+)"', trouble)
        part = "plan" if kind and kind[1] in PLANNED else "faults"
        lists[part].append(f"  {{ {trouble.strip()} }},")
    lines = ["[[day]]", f'name = "{name}"', 'slot = "trouble"', f"seed = {seed}"]
    lines += ["one = 0.6", "zero = 0.2", "labels = []", "wall = 2.0", "light = false"]
    for part, items in lists.items():
        lines += [f"{part} = [", *items, "]"]
    return "\n".join(lines) + "\n"


def play(arguments: argparse.Namespace, name: str, troubles: list[str]) -> str:
    """Play one day and return its row."""
    with tempfile.NamedTemporaryFile("w", suffix=".toml", delete=False) as file:
        file.write(day_text(name, troubles, arguments.seed))
    command = [arguments.bench, "run", arguments.site, file.name, "--jobs", "1"]
    command += ["--why", f"{arguments.why}: day {name}"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    text = done.stdout + done.stderr
    pathlib.Path(file.name).unlink()
    if arguments.keep:
        (pathlib.Path(arguments.keep) / f"{name}.txt").write_text(text)
    return row(name, text)


def row(name: str, text: str) -> str:
    """Sum up the report of one day."""
    first = next((x for x in text.splitlines() if x.startswith(f"{name} ")), "")
    worth = re.search(
        r"worth (-?\d\.\d+) = whole day (\d\.\d+).*?worst windows (\d\.\d+)", text
    )
    rules = sorted(
        set(
            re.findall(
                r"\b(MIXED|UNASKED|TWICE|REFUSED|DENIED|BUDGET|GONE|LOST|CONFIG|ROUTE|DRAIN|ORDER|RECOVER|LIMIT)\b[^\n]{0,60}",
                first,
            )
        )
    )
    prices = [PRICE.match(line) for line in text.splitlines()]
    largest = sorted(((float(p[1]), p[2]) for p in prices if p), reverse=True)[:3]
    if worth is None:
        return f"| {name} | not played: {text.strip()[-200:]} |"
    told = ", ".join(f"{value:.3f} {what[:28].strip()}" for value, what in largest)
    broken = ", ".join(rules) or "none"
    return f"| {name} | {broken} | {worth[1]} | {worth[2]} | {worth[3]} | {told} |"


def main() -> None:
    """Play the days and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bench", required=True)
    parser.add_argument("--site", required=True)
    parser.add_argument("--why", required=True)
    parser.add_argument("--seed", type=int, default=4242)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--keep", default="")
    parser.add_argument(
        "--pairs", type=int, default=0, help="play so many pairs of days instead"
    )
    parser.add_argument("names", nargs="*")
    arguments = parser.parse_args()
    if arguments.keep:
        pathlib.Path(arguments.keep).mkdir(parents=True, exist_ok=True)
    days = read_days(arguments.names)
    if arguments.pairs:
        days = draw_pairs(days, arguments.pairs, arguments.seed)
    sys.stdout.write(
        "| day | rules broken | worth | served | worst windows | prices |\n"
    )
    sys.stdout.write("| --- | --- | --- | --- | --- | --- |\n")
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        rows = pool.map(lambda item: play(arguments, *item), days.items())
        for line in rows:
            sys.stdout.write(line + "\n")
            sys.stdout.flush()


if __name__ == "__main__":
    main()
