#!/usr/bin/env python3
"""Tests of scripts/lint.py on a small project in a temporary folder."""
import json
import os
import pathlib
import shutil
import subprocess
import tempfile
import unittest

SCRIPT = pathlib.Path(__file__).resolve().parent / "lint.py"
CHECKS = """Checks: '-*,readability-identifier-naming'
WarningsAsErrors: '*'
HeaderFilterRegex: '.*'
CheckOptions:
  - { key: readability-identifier-naming.FunctionCase, value: camelBack }
"""


class LintTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.cache = pathlib.Path(folder.name) / "cache"
        self.root = self.checkout(pathlib.Path(folder.name) / "one")

    def checkout(self, root):
        (root / "scripts").mkdir(parents=True)
        (root / "build").mkdir()
        shutil.copy(SCRIPT, root / "scripts")
        (root / ".clang-tidy").write_text(CHECKS)
        (root / "shared.h").write_text("int shared();\n")
        (root / "user.cc").write_text('#include "shared.h"\nint user() { return shared(); }\n')
        (root / "other.cc").write_text("int other() { return 0; }\n")
        self.configure(root, "")
        return root

    def configure(self, root, flags):
        (root / "build/compile_commands.json").write_text(json.dumps([
            {"directory": f"{root}/build", "file": f"{root}/{name}",
             "command": f"/usr/bin/c++ -I{root} {flags} -o {name}.o -c {root}/{name}"}
            for name in ("user.cc", "other.cc")]))

    def lint(self, root=None, cache=None):
        """Returns (exit status, number of files taken from the cache)."""
        root = root or self.root
        environment = dict(os.environ, JUJUBE_LINT_CACHE=cache or str(self.cache))
        run = subprocess.run([root / "scripts/lint.py", "user.cc", "other.cc"], cwd=root,
                             env=environment, capture_output=True, text=True)
        words = run.stdout.split()
        return run.returncode, int(words[words.index("unchanged") - 1])

    def test_unchanged_files_are_not_linted_again(self):
        self.assertEqual(self.lint(), (0, 0))
        self.assertEqual(self.lint(), (0, 2))

    def test_another_checkout_shares_the_cache(self):
        self.lint()
        other = self.checkout(self.root.parent / "two")
        self.assertEqual(self.lint(other), (0, 2))

    def test_changed_header_lints_every_file_that_includes_it(self):
        self.lint()
        (self.root / "shared.h").write_text("int shared();\nint BadName();\n")
        self.assertEqual(self.lint(), (1, 1))

    def test_findings_are_reported_on_every_run(self):
        (self.root / "user.cc").write_text("int BadName();\n")
        self.assertEqual(self.lint(), (1, 0))
        self.assertEqual(self.lint(), (1, 1))

    def test_removed_suppression_is_found(self):
        (self.root / "user.cc").write_text("int BadName(); // NOLINT\n")
        self.assertEqual(self.lint(), (0, 0))
        (self.root / "user.cc").write_text("int BadName(); //\n")
        self.assertEqual(self.lint(), (1, 1))

    def test_changed_checks_lint_everything(self):
        self.lint()
        (self.root / ".clang-tidy").write_text(CHECKS.replace("camelBack", "CamelCase"))
        self.assertEqual(self.lint(), (1, 0))

    def test_changed_compile_command_lints_everything(self):
        self.lint()
        self.configure(self.root, "-DNDEBUG")
        self.assertEqual(self.lint(), (0, 0))

    def test_without_a_cache_everything_is_linted(self):
        self.lint(cache="off")
        self.assertEqual(self.lint(cache="off"), (0, 0))


if __name__ == "__main__":
    unittest.main()
