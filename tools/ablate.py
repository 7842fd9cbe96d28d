"""Measure what each mechanism contributes by switching it off (an ablation).

    python tools/ablate.py --bench PATH --site SITE.toml --folder EMPTY --why "..."
        [--day trouble-1 ...] [--seed 1 ...] [--jobs 3] [--switch NAME ...]

Clones this checkout once for each switch of ``switches.toml`` and once unchanged as
the baseline. On each clone the play program (``--bench``) plays the given days, which
are scripted load and fault scenarios, with each seed. The table printed shows how the
worth, the score of a day, differs from the baseline: mean, minimum and maximum over
the pairs of the same day and seed. Journal entries of the clones are copied back.
Commit first: clones hold only what is committed.
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
BASELINE = "as-it-is"


class SwitchError(Exception):
    """The text of a switch does not occur exactly once; the message says where."""


@dataclasses.dataclass(frozen=True, slots=True)
class Switch:
    """A replacement in the source code that switches a mechanism off.

    Attributes
    ----------
    name : str
        The mechanism.
    file : str
        Path of the source file in the checkout.
    old : str
        Text that occurs there exactly once.
    new : str
        Text that replaces it.
    """

    name: str
    file: str
    old: str
    new: str

    def turn_off(self, checkout: pathlib.Path) -> None:
        """Replace the text in a checkout."""
        path = checkout / self.file
        text = path.read_text()
        occurrences = text.count(self.old)
        if occurrences != 1:
            raise SwitchError(
                f"{self.name}: its text occurs {occurrences} times in {self.file}; "
                f"correct it in {SWITCHES.name}"
            )
        path.write_text(text.replace(self.old, self.new))


@dataclasses.dataclass(frozen=True, slots=True)
class Play:
    """One day with one seed on one clone."""

    clone: str
    day: str
    seed: int


def read_switches(path: pathlib.Path) -> list[Switch]:
    """Return the switches of a file, in order."""
    return [Switch(**item) for item in tomllib.loads(path.read_text())["switch"]]


def clone_checkout(folder: pathlib.Path, name: str) -> pathlib.Path:
    """Clone what is committed in this checkout and return the path."""
    clone = folder / name
    subprocess.run(["git", "clone", "--quiet", str(ROOT), str(clone)], check=True)
    return clone


def play(options: argparse.Namespace, item: Play) -> float | None:
    """Play a day on a clone; return its worth, None if it failed or broke a rule."""
    report = options.folder / f"{item.clone}-{item.day}-{item.seed}.json"
    why = f"{options.why}: {item.clone}, {item.day}, seed {item.seed}"
    command = [str(options.bench), "run", str(options.site), item.day, "--jobs", "1"]
    command += ["--seed", str(item.seed), "--report", str(report), "--why", why]
    subprocess.run(
        command, cwd=options.folder / item.clone, stdout=subprocess.DEVNULL, check=False
    )
    if not report.exists():
        return None
    result = json.loads(report.read_text())
    return None if result["breaks"] else float(result["G"])


def table(names: dict[str, str], worths: dict[Play, float | None]) -> str:
    """Return a table of the differences in worth from the baseline."""
    lines = [
        "| switched off | mean | least | most | pairs | not counted |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for clone, name in names.items():
        pairs = [
            (worth, worths[dataclasses.replace(item, clone=BASELINE)])
            for item, worth in worths.items()
            if item.clone == clone
        ]
        differences = [one - other for one, other in pairs if None not in (one, other)]
        figures = ["-"] * 3
        if differences:
            figures = [
                f"{x:+.3f}"
                for x in (
                    sum(differences) / len(differences),
                    min(differences),
                    max(differences),
                )
            ]
        cells = [
            name,
            *figures,
            str(len(differences)),
            str(len(pairs) - len(differences)),
        ]
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines) + "\n"


def copy_journal(clone: pathlib.Path) -> None:
    """Copy journal entries of a clone that this checkout does not have."""
    for path in (clone / "journal").rglob("*"):
        target = ROOT / "journal" / path.relative_to(clone / "journal")
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
    parser.add_argument("--switch", nargs="+", help="names of switches; default: all")
    return parser.parse_args()


def main() -> None:
    """Play all days on all clones and print the table."""
    options = arguments()
    options.folder.mkdir(parents=True, exist_ok=True)
    switches = [
        switch
        for switch in read_switches(SWITCHES)
        if options.switch is None or switch.name in options.switch
    ]
    names = {f"off-{place}": item.name for place, item in enumerate(switches)}
    clone_checkout(options.folder, BASELINE)
    try:
        for clone, switch in zip(names, switches, strict=True):
            switch.turn_off(clone_checkout(options.folder, clone))
    except SwitchError as error:
        sys.exit(str(error))
    plays = [
        Play(*item)
        for item in itertools.product([BASELINE, *names], options.day, options.seed)
    ]
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        worth = pool.map(lambda item: play(options, item), plays)
        worths = dict(zip(plays, worth, strict=True))
    for clone in (BASELINE, *names):
        copy_journal(options.folder / clone)
    sys.stdout.write(table(names, worths))


if __name__ == "__main__":
    main()
