"""Tests of the day files and of the tools that play days and summarise reports."""

from __future__ import annotations

import importlib
import itertools
import json
import operator
import re
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path
from xml.etree import ElementTree as ET

from testtools import TestCase

TOOLS = Path(__file__).resolve().parent.parent / "tools"
sys.path.insert(0, str(TOOLS))
play_days = importlib.import_module("play_days")
sum_days = importlib.import_module("sum_days")
ablate = importlib.import_module("ablate")
PLOT_TOOL = TOOLS / "plot_day.py"
REPORT = """{"G": 0.5, "events": [{"at_s": 1, "to_s": 3, "kind": "hup"}], "windows": [
  {"name": "0", "worth": 1.0, "refused": 0, "failed": 0, "late": 0},
  {"name": "2", "worth": 0.5, "refused": 1, "failed": 4, "late": 3}]}"""


class PlotTest(TestCase):
    def plot(self, report):
        folder = Path(self.folder())
        (folder / "report.json").write_text(report)
        words = [sys.executable, PLOT_TOOL, folder / "report.json", "a < b"]
        done = subprocess.run(
            [*map(str, words), str(folder / "plot.svg")],
            capture_output=True,
            text=True,
            check=False,
        )
        return done, folder / "plot.svg"

    def folder(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return folder.name

    def test_a_day_is_drawn_with_its_worth_bars_and_troubles(self):
        done, plot = self.plot(REPORT)
        self.assertEqual(0, done.returncode, done.stderr)
        root = ET.fromstring(plot.read_text())
        texts = [item.text for item in root.findall(".//{*}text")]
        self.assertIn("a < b: worth 0.500", texts)
        self.assertIn("hup", texts)
        failed = [x for x in root.findall(".//{*}rect") if x.get("fill") == "#c22"]
        self.assertEqual(["0.0", "40.0"], [x.get("height") for x in failed])

    def test_a_report_without_windows_is_an_error_that_names_it(self):
        done, plot = self.plot('{"G": 0, "events": [], "windows": []}')
        self.assertEqual(2, done.returncode)
        self.assertIn("report.json holds no windows", done.stderr)
        self.assertFalse(plot.exists())


PLACEHOLDERS = {"class": "@c0", "service": "@s0", "zone": "@z0", "to_zone": "@z0"}
FIELDS = {
    "kind",
    "at",
    "for_s",
    "gap_s",
    "share",
    "count",
    "x",
    "how",
    "on",
    *PLACEHOLDERS,
}
# Each kind of trouble with its variants; "" is the plain variant. docs/days.md lists
# the variants that are left out, with reasons.
VARIANTS = {
    "add_nodes": "",
    "after_ack_kill": ",kill,timed",
    "answer_lost": ",all,reset",
    "big_config": "",
    "burst": "",
    "clock_step": "ahead,back",
    "cold_return": ",dark",
    "config_change": "route,weights,timeout,tenant,quota,down,topup,idle",
    "config_storm": ",idle",
    "core_cut": ",all,both,leader,lure,meet,near,one_way,race,refuse,relieve,reset,"
    "seeds,split",
    "evacuate": ",warm",
    "garble": ",all,early,extra,late,unframed",
    "give_up": ",once",
    "herd_kill": ",off,power",
    "hot_key": "",
    "hot_tenant": "",
    "hup": "",
    "idle_race": "",
    "lossy": "",
    "node_cut": ",all,meet,reborn,reset,revoke,servers",
    "node_freeze": ",leader,meet,renewed",
    "node_kill": ",drain,follower,hard,leader,meet,power,race,reader,turn",
    "node_slow": "",
    "one_way": ",all,in",
    "platform_compact": ",drain",
    "platform_down": "busy,drain,lapse,leader,many,meet,nodes,reset,revoke,silent",
    "platform_lost": ",late",
    "platform_slow": "",
    "release": "",
    "replace_with_reuse": ",dark,drain,side",
    "reset_conns": "",
    "retry_abuse": "",
    "revoke": ",last",
    "roll_term": ",busy,leader,remove",
    "scale_in": ",dry,reclaim,spot",
    "scale_out": "",
    "shift": "",
    "srv_crash": ",across,all,dark,domain,gone",
    "srv_cut": ",all,fronts,lossy,one_way,reborn,reset,some",
    "srv_flap": "",
    "srv_grey": "all,busy,errors,hang,mute,one_zone,reset,shed,slow",
    "srv_lying_health": "bad,errors,hang,reset",
    "srv_slow": "",
    "zone_cut": "",
    "zone_loss": "",
}
CLOSINGS = {("kill_all", ""), ("power_off_all", "all"), ("power_off_all", "timed")}
SECONDS_PLAYED = 34.0
LONG_BURST = ("burst", "@c0")
DENSE_DAYS = (
    "dense-changes",
    "dense-changes-cut",
    "dense-changes-gone",
    "dense-changes-reborn",
)
PLAY_PROGRAM = """#!{python}
import json, pathlib, sys
words = sys.argv[1:]
day = pathlib.Path(words[2])
if "broken" in day.name:
    sys.exit("bench: contract is not open")
pathlib.Path(words[words.index("--report") + 1]).write_text(json.dumps({{
    "breaks": {{"TWICE": 2}}, "short": [], "fault": None,
    "exits_n": 0, "served": 0.9, "G": 0.8,
    "parts": [["whole day", 0.7, 0.9], ["worst windows", 0.3, 0.5]],
    "prices": [["memory", 6.0, 0.02], ["cloud calls", 9.0, 0.3]]}}))
print(" ".join(words))
"""
TROUBLE = '[[day]]\nname = "{}"\nplan = []\nfaults = [{{ kind = "burst", at = 1 }}]\n'


def variants_of(trouble):
    return trouble.get("how", "").split() or [""]


class DayFilesTest(TestCase):
    """Day files fit every deployment and together cover all variants of troubles."""

    def setUp(self):
        super().setUp()
        self.days = play_days.read_days([])

    def test_each_day_names_the_kinds_that_it_plays(self):
        for day in self.days:
            with self.subTest(day.name):
                named = re.search(r"^# Kinds: (.+)\.$", day.text, re.MULTILINE)
                kinds = sorted({trouble["kind"] for trouble in day.troubles})
                self.assertEqual(", ".join(kinds), named and named[1])
                self.assertTrue(kinds)

    def test_the_page_of_days_describes_each_file(self):
        page = (TOOLS.parent / "docs/days.md").read_text()
        for day in self.days:
            words = re.findall(r"^# (?!Kinds: )(.+)$", day.text, re.MULTILINE)
            self.assertIn(f"| `{day.name}` | {' '.join(words)} |", page)

    def test_each_variant_of_each_kind_is_in_some_day(self):
        found = {}
        for trouble in itertools.chain(*(day.troubles for day in self.days)):
            found.setdefault(trouble["kind"], set()).update(variants_of(trouble))
        wanted = {kind: set(variants.split(",")) for kind, variants in VARIANTS.items()}
        self.assertEqual(wanted, found)
        ends = [day.table["closing"] for day in self.days if "closing" in day.table]
        self.assertEqual(CLOSINGS, {(end["kind"], end.get("how", "")) for end in ends})

    def test_no_day_holds_a_name_of_one_site(self):
        for day in self.days:
            for trouble in day.troubles:
                with self.subTest(day.name, trouble=trouble):
                    self.assertLessEqual(set(trouble), FIELDS)
                    for field, mark in PLACEHOLDERS.items():
                        self.assertIn(trouble.get(field, mark), (mark,))
                    self.assertIn(trouble.get("on", "core"), ("core",))

    def test_planned_operations_and_faults_are_listed_apart_and_start_in_time(self):
        for day in self.days:
            with self.subTest(day.name):
                for part, is_planned in (("plan", True), ("faults", False)):
                    for trouble in day.table[part]:
                        planned = trouble["kind"] in play_days.PLANNED_KINDS
                        self.assertEqual(is_planned, planned, trouble)
                        self.assertLess(trouble["at"], SECONDS_PLAYED)

    def test_each_day_has_a_seed_of_its_own(self):
        seeds = [day.table["seed"] for day in self.days]
        self.assertEqual(len(seeds), len(set(seeds)))

    def test_dense_days_change_the_configuration_each_second_in_each_variant(self):
        for day in play_days.read_days(list(DENSE_DAYS)):
            changes = [x for x in day.troubles if x["kind"] == "config_change"]
            times = sorted(x["at"] for x in changes)
            self.assertEqual(list(range(times[0], times[-1] + 1)), times)
            self.assertGreaterEqual(len(times), 30)
            self.assertEqual(
                set(VARIANTS["config_change"].split(",")) - {"down"},
                {x["how"] for x in changes},
            )
            leaving = [x for x in day.troubles if x["kind"] == "scale_in"]
            self.assertTrue(leaving, day.name)
            self.assertTrue(all(x["service"] == "@s0" for x in leaving), day.name)
            if day.name == "dense-changes":
                self.assertEqual([0.95], [x["share"] for x in leaving])
            self.assertTrue(
                [x for x in day.troubles if (x["kind"], x.get("class")) == LONG_BURST]
            )


class PlayDaysTest(TestCase):
    def folder(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return Path(folder.name)

    def days(self, *names):
        folder = self.folder()
        for name in names:
            (folder / f"{name}.toml").write_text(TROUBLE.format(name))
        return folder

    def arguments(self, *words):
        bench = self.folder() / "bench"
        bench.write_text(PLAY_PROGRAM.format(python=sys.executable))
        bench.chmod(0o700)
        fixed = ["--bench", str(bench), "--site", "site.toml", "--why", "a reason"]
        return play_days.make_parser().parse_args([*fixed, *words])

    def test_an_unknown_day_is_an_error_that_names_it(self):
        with self.assertRaisesRegex(play_days.DayError, "no day file other; .* one"):
            play_days.read_days(["other"], self.days("one"))

    def test_a_file_with_two_days_is_refused(self):
        folder = self.days("one")
        (folder / "one.toml").write_text(TROUBLE.format("one") * 2)
        with self.assertRaisesRegex(play_days.DayError, "2 days in a file"):
            play_days.read_days([], folder)

    def test_a_tenth_and_pairs_are_drawn_by_the_seed(self):
        days = play_days.read_days([])
        tenth = play_days.draw(days, 7)
        self.assertEqual(tenth, play_days.draw(days, 7))
        self.assertNotEqual(tenth, play_days.draw(days, 8))
        self.assertEqual(-(-len(days) // 10), len(tenth))
        pairs = play_days.draw_pairs(days, 5, 7)
        self.assertEqual(pairs, play_days.draw_pairs(days, 5, 7))
        self.assertNotEqual(pairs, play_days.draw_pairs(days, 5, 8))

    def test_a_pair_holds_the_troubles_of_both_days(self):
        one, other = play_days.read_days(["dense-changes", "crash"])
        (pair,) = play_days.draw_pairs([one, other], 1, 3)
        key = operator.itemgetter("kind", "at")
        self.assertEqual(
            sorted([*one.troubles, *other.troubles], key=key),
            sorted(pair.troubles, key=key),
        )
        self.assertEqual("crash+dense-changes", pair.table["name"])

    def test_a_day_is_played_with_its_own_seed_unless_one_is_given(self):
        (day,) = play_days.read_days([], self.days("one"))
        file = Path("one.toml")
        plain = play_days.command(self.arguments(), day, file, file)
        self.assertNotIn("--seed", plain)
        self.assertNotIn("--vary", plain)
        self.assertIn("a reason: day one", plain)
        varied = self.arguments("--vary", "--seed", "0")
        self.assertEqual(
            ["--vary", "--seed", "0"], play_days.command(varied, day, file, file)[-3:]
        )

    def test_the_row_of_a_day_holds_violations_and_figures_and_files_are_kept(self):
        (day,) = play_days.read_days([], self.days("one"))
        kept = self.folder()
        self.assertEqual(
            "| one | TWICE 2 | 0.900 | 0.800 | 0.500 |"
            " 0.300 cloud calls, 0.020 memory |",
            play_days.play(self.arguments("--keep", str(kept)), day),
        )
        self.assertIn("--log all", (kept / "one.txt").read_text())
        self.assertEqual(day.text, (kept / "one.toml").read_text())

    def test_a_day_that_cannot_be_played_is_reported_with_the_reason(self):
        (day,) = play_days.read_days([], self.days("broken"))
        self.assertEqual(
            "| broken | not played: bench: contract is not open |",
            play_days.play(self.arguments(), day),
        )


class SumDaysTest(TestCase):
    def folder(self, *names):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        for name in names:
            (Path(folder.name) / f"{name}.toml").write_text(TROUBLE.format(name))
        return Path(folder.name)

    def write(self, path, **other):
        report = {"breaks": {}, "short": [], "fault": None, "exits_n": 0}
        path.write_text(json.dumps({**report, "served": 0.5, "G": 0.25, **other}))

    def test_a_column_holds_figures_violations_or_why_a_day_was_not_played(self):
        one, other = self.folder("a", "b"), self.folder("a", "b", "c")
        self.write(one / "a.json")
        faults = {"breaks": {"LOST": 1}, "short": ["starved"], "exits_n": 2}
        self.write(other / "a.json", **faults, fault="too long")
        (one / "b.txt").write_text("bench: srv_flap: contract health is not open")
        violations = "LOST 1, starved, fault: too long, 2 ended by themselves"
        self.assertEqual(
            [
                f"| day | {one.name} | {other.name} |",
                "| --- | --- | --- |",
                f"| a | 0.500 / 0.250 | **{violations}**, 0.500 / 0.250 |",
                "| b | not open | not played |",
                "| c | not played | not played |",
            ],
            sum_days.table([one, other]).splitlines(),
        )


REPORT_OF_LOSSES = {
    "parts": [["whole day", 0.4, 0.9], ["worst windows", 0.1, 0.5]],
    "prices": [["probes", 30.0, 0.02], ["disk", 0.0, 0.0], ["moved", 9.0, 0.03]],
    "classes": [
        {
            "name": "plan",
            "n": 12,
            "not_owed": 2,
            "late": 1,
            "refused": 0,
            "failed": 2,
            "worth": 0.75,
        }
    ],
    "unserved_by": [["502", 2, ["sent", "its run ends: 0 crashed", "gets 502"]]],
    "events": [
        {"at_s": 1.0, "to_s": 3.0, "kind": "hup"},
        {"at_s": 5.0, "to_s": 9.0, "kind": "burst"},
    ],
    "windows": [
        {"name": "0", "n": 6, "worth": 1.0, "late": 0, "refused": 0, "failed": 0},
        {"name": "2", "n": 6, "worth": 0.5, "late": 1, "refused": 0, "failed": 2},
    ],
}
LOG_OF_LOSSES = (
    '  0.28 front-1 {"number":202,"outcome":"answered","status":200,'
    '"prompt_tokens":900,"attempts":[{"outcome":"answered","is_home":true,'
    '"cached_tokens":600,"fetched_from":""}]}\n'
    '  0.30 front-1 {"number":202,"outcome":"refused: cut","status":null,'
    '"prompt_tokens":0,"attempts":[{"outcome":"lost: reset"}]}\n'
    '  0.31 front-1 {"number":310,"target":"m1"}\n'
    '  0.32 front-1 {"number":202,"outc\n'
)


class WorthLostTest(TestCase):
    def sum_up(self, days, log=""):
        folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder)
        words = [sys.executable, str(TOOLS / "worth_lost.py")]
        for place, day in enumerate(days):
            (folder / f"{place}.json").write_text(json.dumps(day))
            words.append(str(folder / f"{place}.json"))
        if log:
            (folder / "day.log").write_text(log)
            words += ["--log", str(folder / "day.log")]
        return subprocess.run(words, capture_output=True, text=True, check=False)

    def test_worth_is_summed_by_part_price_kind_reason_and_window(self):
        dearer = {**REPORT_OF_LOSSES, "prices": [["probes", 50.0, 0.06]]}
        output = self.sum_up([REPORT_OF_LOSSES, dearer]).stdout
        for row in (
            "| worst windows | 0.0500 |",
            "| probes | 40.0 | 0.0400 |",
            "| moved | 4.5 | 0.0150 |",
            "| plan | 20 | 2 | 0 | 4 | 0.750 |",
            "| 502 | 4 | its run ends: 0 crashed |",
            "| 2.0 | 0.50 | 6 | 1 | 0 | 2 | hup |",
        ):
            self.assertIn(row, output)
        self.assertLess(output.index("| probes |"), output.index("| moved |"))
        self.assertNotIn("disk", output)

    def test_a_log_alone_shows_by_which_decision_requests_ended(self):
        output = self.sum_up([], LOG_OF_LOSSES).stdout
        self.assertIn("| refused: cut | lost: reset | 1 | 1 |", output)
        self.assertIn("| home | held | 1 | 300 |", output)
        self.assertNotIn("| answered", output)

    def test_without_reports_and_logs_the_usage_error_says_what_is_missing(self):
        done = self.sum_up([])
        self.assertEqual(2, done.returncode)
        self.assertIn("name a report", done.stderr)


class AblateTest(TestCase):
    def test_each_switch_fits_the_code(self):
        for switch in ablate.read_switches(ablate.SWITCHES):
            text = (ablate.ROOT / switch.file).read_text()
            self.assertEqual(1, text.count(switch.old), switch.name)
            compile(text.replace(switch.old, switch.new), switch.file, "exec")

    def test_a_switch_that_no_longer_fits_is_an_error_that_names_the_file(self):
        folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder)
        (folder / "a.py").write_text("x = 1\nx = 1\n")
        switch = ablate.Switch("mechanism", "a.py", "x = 1", "x = 2")
        error = self.assertRaises(ablate.SwitchError, switch.turn_off, folder)
        self.assertIn("2 times in a.py; correct it in switches.toml", str(error))

    def test_the_table_compares_the_same_day_and_seed(self):
        found = {
            ablate.Play(ablate.BASELINE, "d", 1): 0.8,
            ablate.Play(ablate.BASELINE, "d", 2): 0.7,
            ablate.Play(ablate.BASELINE, "d", 3): 0.7,
            ablate.Play("off-0", "d", 1): 0.75,
            ablate.Play("off-0", "d", 2): 0.71,
            ablate.Play("off-0", "d", 3): None,
        }
        row = ablate.table({"off-0": "homes"}, found).splitlines()[-1]
        self.assertEqual("| homes | -0.020 | -0.050 | +0.010 | 2 | 1 |", row)
