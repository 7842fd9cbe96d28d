"""Switch mechanisms off, one at a time, and say what each is worth.

    python tools/ablate.py --bench PATH --site SITE.toml --folder EMPTY --why "..."
        [--day trouble-1 ...] [--seed 1 ...] [--jobs 3] [--switch NAME ...]

Copies this checkout once for each switch of ``switches.toml`` and once as it is, plays
the days with the seeds on each, and prints a table: the difference that switching off
makes to the worth, mean over the pairs of the same day and seed, least and most. The
copies' journals are brought back. Commit first: copies hold what is committed.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import dataclasses
import itertools
import json
import pathlib
import shutil
import subprocess
import sys
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
SWITCHES = ROOT / "tools/switches.toml"
WHOLE = "as-it-is"


class SwitchError(Exception):
    """A switch that does not fit the code; the message names the remedy."""


@dataclasses.dataclass(frozen=True, slots=True)
class Switch:
    """A text of the code and what it is replaced by.

    Attributes
    ----------
    name : str
        What is switched off.
    file : str
        Path of the source file in the checkout.
    old : str
        Text that stands there once.
    new : str
        What takes its place.
    """

    name: str
    file: str
    old: str
    new: str

    def turn_off(self, checkout: pathlib.Path) -> None:
        """Replace the text in a checkout."""
        path = checkout / self.file
        text = path.read_text()
        found = text.count(self.old)
        if found != 1:
            raise SwitchError(
                f"{self.name}: its text stands {found} times in {self.file}; "
                f"mend it in {SWITCHES.name}"
            )
        path.write_text(text.replace(self.old, self.new))


@dataclasses.dataclass(frozen=True, slots=True)
class Play:
    """One day with one seed on one copy."""

    copy: str
    day: str
    seed: int


def read_switches(path: pathlib.Path) -> list[Switch]:
    """Return the switches of a file, in order."""
    return [Switch(**item) for item in tomllib.loads(path.read_text())["switch"]]


def make_copy(folder: pathlib.Path, name: str) -> pathlib.Path:
    """Return a fresh copy of what is committed here."""
    copy = folder / name
    subprocess.run(["git", "clone", "--quiet", str(ROOT), str(copy)], check=True)
    return copy


def play(given: argparse.Namespace, item: Play) -> float | None:
    """Play a day on a copy; return its worth, None for one that broke a rule."""
    report = given.folder / f"{item.copy}-{item.day}-{item.seed}.json"
    why = f"{given.why}: {item.copy}, {item.day}, seed {item.seed}"
    words = [str(given.bench), "run", str(given.site), item.day, "--jobs", "1"]
    words += ["--seed", str(item.seed), "--report", str(report), "--why", why]
    subprocess.run(
        words, cwd=given.folder / item.copy, stdout=subprocess.DEVNULL, check=False
    )
    if not report.exists():
        return None
    told = json.loads(report.read_text())
    return None if told["breaks"] else float(told["G"])


def table(names: dict[str, str], found: dict[Play, float | None]) -> str:
    """Return what each copy's worth differs by from that of the whole code."""
    lines = [
        "| switched off | mean | least | most | pairs | not counted |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for copy, name in names.items():
        pairs = [
            (worth, found[dataclasses.replace(item, copy=WHOLE)])
            for item, worth in found.items()
            if item.copy == copy
        ]
        by = [one - other for one, other in pairs if None not in (one, other)]
        figures = ["-"] * 3
        if by:
            figures = [f"{x:+.3f}" for x in (sum(by) / len(by), min(by), max(by))]
        cells = [name, *figures, str(len(by)), str(len(pairs) - len(by))]
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines) + "\n"


def bring_journal(copy: pathlib.Path) -> None:
    """Add a copy's journal to this checkout's, entries that are here stay."""
    for path in (copy / "journal").rglob("*"):
        target = ROOT / "journal" / path.relative_to(copy / "journal")
        if path.is_file() and not target.exists():
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy(path, target)


def arguments() -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--bench", required=True, type=pathlib.Path)
    parser.add_argument("--site", required=True, type=pathlib.Path)
    parser.add_argument("--folder", required=True, type=pathlib.Path)
    parser.add_argument("--why", required=True)
    parser.add_argument("--day", nargs="+", default=["trouble-1", "scale-2"])
    parser.add_argument("--seed", nargs="+", type=int, default=[1, 2, 3, 4, 5])
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--switch", nargs="+", help="names; all without this")
    return parser.parse_args()


def main() -> None:
    """Play and print the table."""
    given = arguments()
    given.folder.mkdir(parents=True, exist_ok=True)
    switches = [
        switch
        for switch in read_switches(SWITCHES)
        if given.switch is None or switch.name in given.switch
    ]
    names = {f"off-{place}": item.name for place, item in enumerate(switches)}
    make_copy(given.folder, WHOLE)
    try:
        for copy, switch in zip(names, switches, strict=True):
            switch.turn_off(make_copy(given.folder, copy))
    except SwitchError as error:
        sys.exit(str(error))
    plays = [
        Play(*item)
        for item in itertools.product([WHOLE, *names], given.day, given.seed)
    ]
    with concurrent.futures.ThreadPoolExecutor(given.jobs) as pool:
        worth = pool.map(lambda item: play(given, item), plays)
        found = dict(zip(plays, worth, strict=True))
    for copy in (WHOLE, *names):
        bring_journal(given.folder / copy)
    sys.stdout.write(table(names, found))


if __name__ == "__main__":
    main()
