"""The build for the platform, with a stand-in of the interpreter.

Guards against libraries of another kind of machine that stay after the folder has been
carried over.
"""

from __future__ import annotations

import os
import shutil
import subprocess
import tempfile
from pathlib import Path

from testtools import TestCase

ROOT = Path(__file__).resolve().parent.parent
# Writes down when it is asked to install, and creates the folder.
PYTHON = """#!/bin/sh
case "$*" in
    -VV) echo "$INTERPRETER" ;;
    "-m pip install"*) mkdir -p target/deps; echo installed >> target/installs ;;
esac
"""
UNAME = '#!/bin/sh\necho "$MACHINE"\n'


class BuildTest(TestCase):
    def setUp(self):
        super().setUp()
        self.folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)
        for name in ("deploy/build.sh", "requirements/platform.txt"):
            (self.folder / name).parent.mkdir(exist_ok=True)
            shutil.copy(ROOT / name, self.folder / name)
        (self.folder / "src/primrosescale").mkdir(parents=True)
        programs = self.folder / "programs"
        programs.mkdir()
        for name, text in (("python3", PYTHON), ("uname", UNAME)):
            (programs / name).write_text(text)
            (programs / name).chmod(0o755)

    def installs_after(self, machine, interpreter="Python 3.11"):
        """Return how often libraries have been installed after one more build."""
        path = f"{self.folder / 'programs'}{os.pathsep}{os.environ['PATH']}"
        variables = {"PATH": path, "MACHINE": machine, "INTERPRETER": interpreter}
        subprocess.run(
            ["/bin/sh", "deploy/build.sh"],
            cwd=self.folder,
            env={**os.environ, **variables},
            check=True,
        )
        return len((self.folder / "target/installs").read_text().splitlines())

    def test_a_second_build_installs_nothing(self):
        self.assertEqual(1, self.installs_after("aarch64"))
        self.assertEqual(1, self.installs_after("aarch64"))

    # The stamp named no architecture.
    def test_libraries_of_another_machine_are_replaced(self):
        self.assertEqual(1, self.installs_after("aarch64"))
        self.assertEqual(2, self.installs_after("x86_64"))

    def test_libraries_of_another_interpreter_are_replaced(self):
        self.assertEqual(1, self.installs_after("aarch64"))
        self.assertEqual(2, self.installs_after("aarch64", "Python 3.12"))

    def test_libraries_of_other_requirements_are_replaced(self):
        self.assertEqual(1, self.installs_after("aarch64"))
        with (self.folder / "requirements/platform.txt").open("a") as requirements:
            requirements.write("# changed\n")
        self.assertEqual(2, self.installs_after("aarch64"))
