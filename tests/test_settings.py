import pathlib
import tempfile

import testtools

from cranberrywheel.errors import SettingsError
from cranberrywheel.settings import load_entry_settings, load_planner_settings

ENTRY = """\
[entry]
instance = e1
zone = z1
host = 127.0.0.1
http_port = 8000
peer_port = 8001
operator_token_file = token
[platform]
url = http://127.0.0.1:9
[limits]
long_fraction = 0.25
"""


class SettingsTest(testtools.TestCase):
    def write(self, text):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "entry.ini"
        path.write_text(text)
        return str(path)

    def assert_refused(self, text, *words):
        path = self.write(text)
        error = self.assertRaises(SettingsError, load_entry_settings, path)
        for word in (path, *words):
            self.assertIn(word, error.message)
        self.assertNotEqual("", error.remedy)

    def test_defaults_are_filled_in(self):
        """A default must not replace a given value, nor be missing."""
        settings = load_entry_settings(self.write(ENTRY))
        self.assertEqual(0.25, settings.limits.long_fraction)
        self.assertEqual(150_000, settings.limits.short_hold_ms)
        self.assertEqual("http://127.0.0.1:9", settings.platform.url)

    def test_bad_values_name_file_section_and_key(self):
        """A program must not start with a setting that it cannot use."""
        self.assert_refused(ENTRY.replace("8000", "http"), "[entry]", "http_port")
        self.assert_refused(ENTRY.replace("8000", "70000"), "[entry]", "http_port")
        self.assert_refused(ENTRY.replace("127.0.0.1\n", "node\n", 1), "host")
        self.assert_refused(ENTRY.replace("0.25", "2"), "[limits]", "long_fraction")
        self.assert_refused(ENTRY + "colour = red\n", "[limits]", "colour")
        self.assert_refused(ENTRY.replace("zone = z1\n", ""), "zone")
        self.assert_refused("[entry\n")
        self.assert_refused(ENTRY + "[other]\n", "[other]")

    def test_planner_settings_have_defaults(self):
        """A planner must start with the required settings alone."""
        text = "[planner]\ninstance=e1\nzone=z1\n[platform]\nurl=http://127.0.0.1:9\n"
        self.assertEqual(15_000, load_planner_settings(self.write(text)).lease_ttl_ms)
