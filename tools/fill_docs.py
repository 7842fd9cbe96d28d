"""Write the generated parts of the documentation pages.

With ``--check`` nothing is written; stale pages are named and the exit status is 1.
"""

from __future__ import annotations

import json
import re
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "tests"), str(ROOT / "tools")]

import capacity  # noqa: E402
from primrosescale.process.settings import settings_reference  # noqa: E402
from primrosescale.process.transport.problems import ALL_PROBLEMS  # noqa: E402

DOCS = ROOT / "docs"
RESULTS = ROOT / "benchmarks/results"
GENERATED_PART = re.compile(
    r"<!-- begin:([a-z0-9-]+) -->\n.*?<!-- end:\1 -->", re.DOTALL
)


def load_result(name):
    return json.loads((RESULTS / f"{name}.json").read_text())


def problem_table():
    rows = [
        [f"`urn:primrosescale:problem:{p.kind}`", p.status, p.title, p.remedy]
        for p in ALL_PROBLEMS
    ]
    return capacity.table(["type", "status", "meaning", "remedy"], rows)


def format_number(value):
    return f"{value:,.3f}" if isinstance(value, float) else f"{value:,}"


def scalar_table(name):
    found = load_result(name)
    rows = [
        [key, format_number(value)]
        for key, value in sorted(found.items())
        if isinstance(value, int | float)
    ]
    return capacity.table(["figure", "value"], rows)


def case_table(name):
    found = load_result(name)
    groups = {k: v for k, v in sorted(found.items()) if isinstance(v, dict)}
    groups = {k: v for k, v in groups.items() if "points" not in v}
    columns = list(next(iter(groups.values())))
    rows = [
        [key, *[format_number(value[column]) for column in columns]]
        for key, value in groups.items()
    ]
    return capacity.table(["case", *columns], rows)


def commit_table():
    names = sorted(path.stem for path in RESULTS.glob("*.json"))
    rows = [
        [n, f"`{load_result(n)['commit']}`", f"`python benchmarks/{n}.py`"]
        for n in names
    ]
    return capacity.table(["benchmark", "commit", "taken again by"], rows)


def fault_matrix():
    from support.cells import CLAIM_STEPS  # noqa: PLC0415
    from support.cells import STEPS  # noqa: PLC0415
    from support.faults import FAULTS  # noqa: PLC0415

    rows = []
    for step in STEPS:
        kinds = "confirmation" if step in CLAIM_STEPS else "confirmation, chat"
        rows.append([step, kinds, *["run"] * len(FAULTS)])
    return capacity.table(["step", "kinds of call", *FAULTS], rows)


BLOCKS = {
    **capacity.BLOCKS,
    "problems": problem_table,
    "commits": commit_table,
    "matrix": fault_matrix,
    "path-cost": lambda: scalar_table("path_cost"),
    "decision-cost": lambda: scalar_table("decision_cost"),
    "placement": lambda: case_table("placement"),
    "fleet-news": lambda: case_table("fleet_news"),
    "fairness": lambda: case_table("fairness"),
    "ledger-rate": lambda: case_table("ledger_rate"),
    "config-spread": lambda: case_table("config_spread"),
}


def fill_page(text):
    """Return the text of a page with its generated parts up to date."""

    def fill(match):
        name = match[1]
        return f"<!-- begin:{name} -->\n{BLOCKS[name]()}\n<!-- end:{name} -->"

    return GENERATED_PART.sub(fill, text)


def pages():
    """Return the path and up-to-date text of every page."""
    found = {
        path: fill_page(path.read_text())
        for path in sorted(DOCS.rglob("*.md"))
        if path.name != "settings.md"
    }
    title = "# Settings\n\nOne INI file a process. Check it with `primrosescale check FILE`.\n\n"
    found[DOCS / "settings.md"] = title + settings_reference()
    return found


def main():
    stale = []
    for path, text in pages().items():
        if not path.exists() or path.read_text() != text:
            stale.append(str(path.relative_to(ROOT)))
            if "--check" not in sys.argv:
                path.write_text(text)
    if stale and "--check" in sys.argv:
        sys.exit(f"stale pages: {', '.join(stale)}; run python tools/fill_docs.py")


if __name__ == "__main__":
    main()
