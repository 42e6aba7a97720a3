import contextlib
import io
import json
import pathlib
import sys
from unittest import mock

import testtools

from cranberrywheel.programs import entry, operator, planner

EXAMPLE_PATH = str(
    pathlib.Path(__file__).parent.parent / "examples" / "maclachlan-rennie.ini"
)


class ConsoleScriptsTest(testtools.TestCase):
    def run_program(self, main, *arguments):
        out, err = io.StringIO(), io.StringIO()
        with (
            mock.patch.object(sys, "argv", ["program", *arguments]),
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
        ):
            return main(), out.getvalue(), err.getvalue()

    def test_check_counts_the_workers_of_a_valid_text(self):
        """Guards against a valid configuration text being refused or misread."""
        code, out, _ = self.run_program(operator.main, "check", EXAMPLE_PATH, "--json")
        self.assertEqual(0, code)
        self.assertEqual(40, json.loads(out)["workers"])

    def test_unreadable_text_exits_with_1_and_names_the_remedy(self):
        """Guards against an unreadable file that is reported without a remedy."""
        code, _, err = self.run_program(operator.main, "check", "/nowhere")
        self.assertEqual(1, code)
        self.assertIn("Check the path", err)

    def test_usage_error_exits_with_2_and_mentions_help(self):
        """Guards against usage errors with a traceback or the code of a refusal."""
        for arguments in (("check",), ("nonsense",), ("check", "--nonsense")):
            code, _, err = self.run_program(operator.main, *arguments)
            self.assertEqual(2, code, arguments)
            self.assertIn("--help", err)

    def test_command_without_an_instance_names_the_entry_option(self):
        """Guards against an error that does not say how to name an instance."""
        with mock.patch.dict("os.environ", clear=True):
            code, _, err = self.run_program(operator.main, "show")
        self.assertEqual(1, code)
        self.assertIn("--entry", err)

    def test_plan_of_a_file_needs_no_instance(self):
        """Guards against a plan preview that is empty or calls an entry instance."""
        code, out, _ = self.run_program(operator.main, "plan", EXAMPLE_PATH, "--json")
        self.assertEqual(0, code)
        plan = json.loads(out)
        self.assertNotEqual({}, plan["take"])
        self.assertNotEqual({}, plan["waits_by_name"])

    def test_daemons_exit_with_2_if_the_settings_are_missing(self):
        """Guards against a daemon that starts without settings or hides their path."""
        for main in (entry.main, planner.main):
            self.assertEqual(2, self.run_program(main)[0])
            code, _, err = self.run_program(main, "--settings", "/nowhere.ini")
            self.assertEqual(2, code)
            self.assertIn("/nowhere.ini", err)
