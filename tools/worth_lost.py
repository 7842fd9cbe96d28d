"""Show where a day's worth is lost, from its report and the routers' log lines.

    fleetbench run SITE DAY --report DAY.json --log all --why "..." > DAY.log
    python tools/worth_lost.py DAY.json [DAY.json ...] [--log DAY.log ...]

Worth is the score that the play program gives to a day. Of several reports, of days or
seeds, the tables show means. There are tables by part of the worth, by price, by kind
of request, by reason why a request was not served, and of each window that served less
than 0.8 of its worth, with the events during it. Log lines with event number 202 show
with which decision requests ended and, for prompts, what the router assumed to be in
the target's cache; they can be analysed without a report, for example in production.
"""

from __future__ import annotations

import argparse
import json
import pathlib
import sys
from collections import Counter
from typing import Any

WINDOW_SECONDS = 2.0
# Windows that served less than this share of their worth are listed.
POOR_WINDOW_SHARE = 0.8
# Prices below this share of a day's worth are left out.
MIN_PRICE = 0.0005
REQUEST_ENDED = 202


def table(head: list[str], rows: list[list[Any]]) -> str:
    """Return a Markdown table."""
    lines = [head, ["---"] * len(head), *rows]
    return "".join(f"| {' | '.join(map(str, line))} |\n" for line in lines)


def prices(days: list[dict[str, Any]]) -> str:
    """Return the table of prices, the highest first."""
    units: Counter[str] = Counter()
    worth: Counter[str] = Counter()
    for day in days:
        for name, count, price in day["prices"]:
            units[name] += count
            worth[name] += price
    rows = [
        [name, f"{units[name] / len(days):.1f}", f"{price / len(days):.4f}"]
        for name, price in worth.most_common()
        if price / len(days) >= MIN_PRICE
    ]
    return table(["price", "units", "worth"], rows)


def parts(days: list[dict[str, Any]]) -> str:
    """Return the table of worth lost in each part of the score, weighted."""
    lost: Counter[str] = Counter()
    for day in days:
        for name, weight, kept in day["parts"]:
            lost[name] += weight * (1.0 - kept)
    rows = [[name, f"{taken / len(days):.4f}"] for name, taken in lost.most_common()]
    return table(["part", "worth"], rows)


def kinds(days: list[dict[str, Any]]) -> str:
    """Return the table of outcomes of each kind of request."""
    names = [kind["name"] for kind in days[0]["classes"]]
    rows = []
    for place, name in enumerate(names):
        classes = [day["classes"][place] for day in days]
        sums = {
            key: sum(kind[key] for kind in classes)
            for key in ("n", "not_owed", "late", "refused", "failed")
        }
        kept = sum(kind["worth"] or 0.0 for kind in classes) / len(days)
        counts = [sums[key] for key in ("late", "refused", "failed")]
        rows.append([name, sums["n"] - sums["not_owed"], *counts, f"{kept:.3f}"])
    return table(["kind", "owed", "late", "refused", "failed", "kept"], rows)


def reasons(days: list[dict[str, Any]]) -> str:
    """Return the table of reasons, each with the last step but one of an example."""
    counts: Counter[str] = Counter()
    examples = {}
    for day in days:
        for reason, count, steps in day["unserved_by"]:
            counts[reason] += count
            examples.setdefault(reason, steps[-2].strip() if len(steps) > 1 else "")
    rows = [[reason, count, examples[reason]] for reason, count in counts.most_common()]
    return table(["not served", "requests", "one of them, last but one step"], rows)


def poor_windows(day: dict[str, Any]) -> str:
    """Return the table of poor windows of a day with the events during them."""
    rows = []
    for window in day["windows"]:
        begins = float(window["name"])
        if window["worth"] is None or window["worth"] >= POOR_WINDOW_SHARE:
            continue
        meanwhile = [
            event["kind"]
            for event in day["events"]
            if event["at_s"] < begins + WINDOW_SECONDS and event["to_s"] > begins
        ]
        counts = [window[key] for key in ("n", "late", "refused", "failed")]
        rows.append([begins, f"{window['worth']:.2f}", *counts, "; ".join(meanwhile)])
    head = ["second", "kept", "requests", "late", "refused", "failed", "meanwhile"]
    return table(head, rows)


def read_log_lines(path: pathlib.Path) -> list[dict[str, Any]]:
    """Return the log lines of ended requests."""
    found = []
    for text in path.read_text(errors="replace").splitlines():
        begin = text.find('{"number"')
        if begin < 0:
            continue
        try:
            line = json.loads(text[begin:])
        except ValueError:
            # The last line of a process that was killed may be incomplete.
            continue
        if line["number"] == REQUEST_ENDED:
            found.append(line)
    return found


def decisions(log_lines: list[dict[str, Any]]) -> str:
    """Return the table of ends of requests other than one answer with status 200."""
    counts: Counter[tuple[str, str, str]] = Counter()
    for line in log_lines:
        attempts = line.get("attempts") or [{"outcome": "none"}]
        status = line.get("status")
        if line["outcome"] == "answered" and status == 200 and len(attempts) == 1:
            continue
        last = str(attempts[-1]["outcome"])[:50]
        ended = line["outcome"] if status is None else f"{line['outcome']} {status}"
        counts[(ended, last, str(len(attempts)))] += 1
    rows = [[*key, count] for key, count in counts.most_common(20)]
    return table(["ended", "last attempt", "attempts", "requests"], rows)


def placements(log_lines: list[dict[str, Any]]) -> str:
    """Return the table of prompts by place and assumed content of the cache."""
    counts: Counter[tuple[str, str]] = Counter()
    tokens: Counter[tuple[str, str]] = Counter()
    for line in log_lines:
        for attempt in (line.get("attempts") or [])[:1]:
            if not line.get("prompt_tokens"):
                continue
            place = "home" if attempt["is_home"] else "elsewhere"
            held = "held" if attempt["cached_tokens"] else "not held"
            if attempt["fetched_from"]:
                held = "copied"
            counts[(place, held)] += 1
            tokens[(place, held)] += line["prompt_tokens"] - attempt["cached_tokens"]
    rows = [[*key, count, tokens[key]] for key, count in counts.most_common()]
    return table(["place", "taken to be", "prompts", "tokens not held"], rows)


def main() -> None:
    """Print the tables of the reports and logs given."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("reports", nargs="*", type=pathlib.Path)
    parser.add_argument("--log", action="append", default=[], type=pathlib.Path)
    arguments = parser.parse_args()
    if not arguments.reports and not arguments.log:
        parser.error("name a report, or a log with --log")
    days = [json.loads(path.read_text()) for path in arguments.reports]
    tables = []
    if days:
        tables += [parts(days), prices(days), kinds(days), reasons(days)]
        tables += [poor_windows(day) for day in days]
    log_lines = [line for path in arguments.log for line in read_log_lines(path)]
    if log_lines:
        tables += [decisions(log_lines), placements(log_lines)]
    sys.stdout.write("\n".join(tables))


if __name__ == "__main__":
    main()
