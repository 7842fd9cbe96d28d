"""Compare service of small organisations with and without the surge of a large one.

Plays pairs of days with the same seed. In the second day of a pair the largest
organisation sends many times its usual rate. From the routers' logs the tool takes the
share of the other organisations' requests that were answered, and the median and 95th
percentile of the time to the first byte.

    python tools/small_organisations.py --bench PATH --site SITE.toml --why "..."
"""

from __future__ import annotations

import argparse
import json
import pathlib
import statistics
import subprocess
import sys
import tempfile

import play_days

SURGE_TROUBLES = ['kind = "hot_tenant", at = 4, x = {times}, count = 1, for_s = 26']
ANSWERED = "answered"


def play_day(arguments: argparse.Namespace, troubles: list[str], seed: int) -> str:
    """Play a day and return the report and logs that were printed."""
    with tempfile.NamedTemporaryFile("w", suffix=".toml", delete=False) as file:
        file.write(play_days.day_text("surge" if troubles else "calm", troubles, seed))
    command = [arguments.bench, "run", arguments.site, file.name, "--jobs", "1"]
    command += ["--log", "all", "--seed", str(seed), "--why", arguments.why]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    # The report is on standard output, the logs on standard error.
    text = done.stdout + done.stderr
    if '"number":202' not in text:
        sys.exit(f"the play program logged no ended request: {text[-300:]}")
    pathlib.Path(file.name).unlink()
    return text


def by_organisation(text: str) -> dict[str, list[dict]]:
    """Return the logged ends of requests (event 202) of each organisation."""
    found: dict[str, list[dict]] = {}
    for line in text.splitlines():
        start = line.find('{"number":202')
        if start < 0:
            continue
        entry = json.loads(line[start:])
        if entry.get("organisation"):
            found.setdefault(entry["organisation"], []).append(entry)
    return found


def summarise(requests: list[dict]) -> tuple[float, float, float]:
    """Return the share answered and median and 95th percentile of the first byte."""
    kept = [item for item in requests if item["outcome"] != "caller_gone"]
    good = [item for item in kept if item["outcome"] == ANSWERED]
    first = sorted(item["first_byte"] for item in good if item["first_byte"])
    percentile_95 = first[min(len(first) - 1, int(0.95 * len(first)))]
    return len(good) / len(kept), statistics.median(first), percentile_95


def main() -> None:
    """Play the pairs and print a table of both days' figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bench", required=True)
    parser.add_argument("--site", required=True)
    parser.add_argument("--why", required=True)
    parser.add_argument("--times", type=float, default=20.0)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3, 4, 5])
    arguments = parser.parse_args()
    sys.stdout.write(
        "| seed | requests of the large one | small: answered | worst small one | "
        "first byte, median, s | 95th percentile, s |\n"
    )
    sys.stdout.write("| --- | --- | --- | --- | --- | --- |\n")
    for seed in arguments.seeds:
        calm = by_organisation(play_day(arguments, [], seed))
        surge = [line.format(times=arguments.times) for line in SURGE_TROUBLES]
        surged = by_organisation(play_day(arguments, surge, seed))
        large = max(
            surged, key=lambda name: len(surged[name]) - len(calm.get(name, []))
        )
        rows = []
        for day in (calm, surged):
            small = {n: r for n, r in day.items() if n != large}
            answered, median, percentile_95 = summarise(
                [r for rs in small.values() for r in rs]
            )
            worst = min(summarise(rs)[0] for rs in small.values())
            rows.append(
                (len(day.get(large, [])), answered, worst, median, percentile_95)
            )
        cells = [f"{a:.3g} → {b:.3g}" for a, b in zip(*rows, strict=True)]
        sys.stdout.write(f"| {seed} | {' | '.join(cells)} |\n")
        sys.stdout.flush()


if __name__ == "__main__":
    main()
