"""The command line: help texts, exit codes, and one message for each fault."""

from __future__ import annotations

import contextlib
import io
import tempfile
from pathlib import Path

from testtools import TestCase

from primrosescale.console.application import commands
from primrosescale.console.application import run
from primrosescale.console.exit_codes import ExitCode

ROOT = Path(__file__).resolve().parents[2]


def call(*words):
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = run(list(words))
    return code, out.getvalue(), err.getvalue()


class ApplicationTest(TestCase):
    def write(self, text):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "settings.ini"
        path.write_text(text)
        return str(path)

    def test_help_of_every_command_has_its_summary_and_an_example(self):
        for command in commands():
            code, out, _ = call(command.name, "--help")
            self.assertEqual(ExitCode.OK, code)
            self.assertIn(command.summary, out)
            self.assertIn(f"example: primrosescale {command.name}", out)

    def test_wrong_arguments_are_usage_errors(self):
        for words in (
            [],
            ["fly"],
            ["router"],
            ["router", "--colour=red"],
            ["check"],
            ["bundle"],
            ["bundle", "fly"],
            ["bundle", "sign", "x"],
            ["bundle", "status"],
        ):
            code, _, err = call(*words)
            self.assertEqual(ExitCode.USAGE, code, words)
            self.assertTrue(err or not words)

    def test_check_prints_every_fault_with_section_key_value_and_remedy(self):
        path = self.write(
            "[process]\nname = r\nrole = rooter\nregion = x\n"
            "[router]\nport = 99999\naddress = localhost\nprot = 1\n"
            "[tls]\ncertificate = /none\n[gadget]\n"
            "[trust]\napprovers = ann:short\n",
        )
        code, out, _ = call("check", path)
        self.assertEqual(ExitCode.BAD_SETTINGS, code)
        for word in (
            "role = 'rooter'",
            "[process] domain",
            "port = '99999'",
            "address = 'localhost'",
            "did you mean port?",
            "[gadget]",
            "certificate = '/none'",
            "approvers = 'ann:short'",
        ):
            self.assertIn(word, out)

    def test_a_daemon_with_bad_settings_exits_at_once(self):
        for text in ("[process]\n", "nonsense", ""):
            code, _, err = call("router", "--settings", self.write(text))
            self.assertEqual(ExitCode.BAD_SETTINGS, code, text)
            self.assertTrue(err.startswith("primrosescale: "))
        code, _, _ = call("router", "--settings", "/nowhere/x.ini")
        self.assertEqual(ExitCode.BAD_SETTINGS, code)

    def test_settings_of_another_role_are_refused(self):
        path = str(ROOT / "settings/riga/router-1.ini")
        code, _, err = call("agent", "--settings", path)
        self.assertEqual(ExitCode.USAGE, code)
        self.assertIn("run 'primrosescale router'", err)

    def test_the_example_settings_are_valid(self):
        paths = [
            path
            for path in sorted((ROOT / "settings").glob("*/*.ini"))
            if path.name != "bundle.ini"
        ]
        code, out, _ = call("check", *map(str, paths))
        self.assertEqual(ExitCode.OK, code, out)
        for path in sorted((ROOT / "settings").glob("*/bundle.ini")):
            code, out, err = call("bundle", "check", str(path))
            self.assertEqual(ExitCode.OK, code, err)

    def test_an_unreachable_router_has_its_own_exit_code(self):
        key = self.write("key")
        code, _, err = call(
            "bundle",
            "status",
            "--admin=127.0.0.1:1",
            f"--key_file={key}",
        )
        self.assertEqual(ExitCode.UNREACHABLE, code)
        self.assertIn("--admin", err)

    def test_version_and_keys(self):
        code, out, _ = call("version")
        self.assertEqual(ExitCode.OK, code)
        self.assertIn("primrosescale", out)
        code, out, _ = call("bundle", "keygen")
        self.assertEqual(
            ["private", "public"], [x.split()[0] for x in out.splitlines()]
        )
