import contextlib
import io
import json
import pathlib
import sys
from unittest import mock

import testtools

from cranberrywheel.programs import entry, operator, planner

EXAMPLE = str(
    pathlib.Path(__file__).parent.parent / "examples" / "maclachlan-rennie.ini"
)


class ProgramsTest(testtools.TestCase):
    def run_program(self, main, *arguments):
        out, err = io.StringIO(), io.StringIO()
        with (
            mock.patch.object(sys, "argv", ["program", *arguments]),
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
        ):
            return main(), out.getvalue(), err.getvalue()

    def test_valid_text_is_described(self):
        code, out, _ = self.run_program(operator.main, "check", EXAMPLE, "--json")
        self.assertEqual(0, code)
        self.assertEqual(40, json.loads(out)["workers"])

    def test_refused_text_names_the_remedy_and_exits_with_1(self):
        code, _, err = self.run_program(operator.main, "check", "/nowhere")
        self.assertEqual(1, code)
        self.assertIn("Check the path", err)

    def test_wrong_usage_exits_with_2(self):
        for arguments in (("check",), ("nonsense",), ("check", "--nonsense")):
            code, _, err = self.run_program(operator.main, *arguments)
            self.assertEqual(2, code, arguments)
            self.assertIn("--help", err)

    def test_command_without_an_instance_names_the_option(self):
        with mock.patch.dict("os.environ", clear=True):
            code, _, err = self.run_program(operator.main, "show")
        self.assertEqual(1, code)
        self.assertIn("--entry", err)

    def test_plan_of_a_file_needs_no_instance(self):
        code, out, _ = self.run_program(operator.main, "plan", EXAMPLE, "--json")
        self.assertEqual(0, code)
        plan = json.loads(out)
        self.assertNotEqual({}, plan["take"])
        self.assertNotEqual({}, plan["waits_by_name"])

    def test_daemons_refuse_missing_settings_with_2(self):
        for main in (entry.main, planner.main):
            self.assertEqual(2, self.run_program(main)[0])
            code, _, err = self.run_program(main, "--settings", "/nowhere.ini")
            self.assertEqual(2, code)
            self.assertIn("/nowhere.ini", err)
