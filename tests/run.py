"""Run all test files, several at a time, and print the numbers of results.

The tests of a file run one after the other in a process of their own, so that files do
not share a reactor. Results are printed in the order of the files' names.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parent
KNOWN_RED = ROOT.parent / "KNOWN-RED.txt"
ONE_FILE = "--one-file"
# Files that run at the same time; most of their tests wait for timers.
WORKERS = 4
SLOWEST_PRINTED = 8


def known_red():
    """Return the tests that are known to fail, with their lines in KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return {}
    lines = [line for line in KNOWN_RED.read_text().splitlines() if line.strip()]
    return {line.split(",")[0].strip(): line for line in lines}


def run_file(path):
    """Run the tests of one file in this process; print the result as the last line."""
    sys.path.insert(0, str(ROOT))
    suite = unittest.TestLoader().discover(str(path.parent), path.name, str(ROOT))
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    failed = [case.id() for case, _ in [*result.failures, *result.errors]]
    outcome = {"run": result.testsRun, "bad": failed, "skipped": len(result.skipped)}
    sys.stdout.write(f"\n{json.dumps(outcome)}\n")


def run_in_child(path):
    """Run the tests of one file in a child process; return its result."""
    began = time.monotonic()
    command = [sys.executable, __file__, ONE_FILE, str(path)]
    # A fixed hash seed keeps the order of sets of names the same in every run.
    environment = {**os.environ, "PYTHONHASHSEED": "0"}
    done = subprocess.run(
        command, capture_output=True, text=True, check=False, env=environment
    )
    took = time.monotonic() - began
    name = str(path.relative_to(ROOT))
    try:
        outcome = json.loads(done.stdout.rstrip().rpartition("\n")[2])
    except ValueError:
        outcome = {
            "run": 0,
            "bad": [f"{name} ended with {done.returncode}"],
            "skipped": 0,
        }
    if outcome["bad"]:
        sys.stderr.write(f"{name}:\n{done.stdout}{done.stderr}\n")
    return {"name": name, "took": took, **outcome}


def main():
    """Run the tests; exit with 1 on a failure not listed as known, or without tests."""
    if ONE_FILE in sys.argv:
        run_file(Path(sys.argv[-1]))
        return
    pattern = sys.argv[1] if len(sys.argv) > 1 else "test_*.py"
    # Large files start first, so that none is left to run alone at the end.
    paths = sorted(ROOT.rglob(pattern), key=lambda path: -path.stat().st_size)
    workers = min(WORKERS, max(1, (os.cpu_count() or 1) // 2))
    with ThreadPoolExecutor(workers) as pool:
        files = list(pool.map(run_in_child, paths))
    for file in sorted(files, key=lambda file: file["name"]):
        sys.stdout.write(f"{file['name']}: {file['run']} in {file['took']:.1f} s\n")
    slowest = sorted(files, key=lambda file: -file["took"])[:SLOWEST_PRINTED]
    names = ", ".join(f"{file['name']} {file['took']:.0f} s" for file in slowest)
    sys.stdout.write(f"slowest: {names}\n")
    known = known_red()
    for line in known.values():
        sys.stdout.write(f"known red: {line}\n")
    run = sum(file["run"] for file in files)
    failed = [name for file in files for name in file["bad"]]
    skipped = sum(file["skipped"] for file in files)
    passed = run - len(failed) - skipped
    sys.stdout.write(f"{passed} passed, {len(failed)} failed, {skipped} skipped\n")
    unexpected = [name for name in failed if name not in known]
    sys.exit(1 if unexpected or not run else 0)


if __name__ == "__main__":
    main()
