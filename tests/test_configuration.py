import pathlib

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from cranberrywheel.errors import ConfigurationError
from cranberrywheel.version.configuration import parse_configuration

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
SMALL = """\
[deployment]
name = small
[zone z1]
[pool p]
workers = w1@z1/r1, w2@z1/r1
cores = 8
memory_mb = 1024
[service s]
pool = p
min_healthy = 1
[queue q]
service = s
[team t]
share = 0.5
limit = 4
"""
FRAGMENTS = st.lists(
    st.one_of(st.sampled_from(SMALL.splitlines()), st.text(max_size=30)), max_size=30
).map("\n".join)


class ParseConfigurationTest(testtools.TestCase):
    def assert_refused(self, text, line, expected_words):
        error = self.assertRaises(ConfigurationError, parse_configuration, text)
        self.assertEqual(line, error.line)
        self.assertIn(expected_words, error.message)
        self.assertNotEqual("", error.remedy)

    def test_examples_are_valid(self):
        """An example must not become invalid or lose workers."""
        sizes = {
            path.stem: len(parse_configuration(path.read_text()).workers_by_name)
            for path in EXAMPLES.glob("*.ini")
        }
        self.assertEqual({"maclachlan-rennie": 40, "kayis-birligi": 30}, sizes)

    def test_unknown_name_is_refused_with_its_line(self):
        """A reference to an item that does not exist must not be accepted."""
        text = SMALL.replace("service = s\n", "service = other\n")
        self.assert_refused(text, 12, "unknown service 'other'")

    def test_unknown_key_is_refused_with_its_line(self):
        """A misspelt key must not be ignored."""
        self.assert_refused(SMALL + "colour = red\n", 16, "colour")

    def test_dependency_cycle_is_refused(self):
        """Services that depend on each other in a cycle must not be accepted."""
        text = SMALL + "[service b]\npool=p\nmin_healthy=0\ndepends_on=c\n"
        text += "[service c]\npool=p\nmin_healthy=0\ndepends_on=b\n"
        self.assert_refused(text, 23, "b -> c -> b")

    def test_shares_over_one_are_refused(self):
        """Shares of more than the whole fleet cannot be guaranteed."""
        self.assert_refused(SMALL + "[team u]\nshare=0.6\nlimit=1\n", 17, "add up")

    def test_limit_below_zero_is_refused(self):
        """A negative limit must not be accepted."""
        self.assert_refused(SMALL.replace("limit = 4", "limit = -1"), 15, "limit")

    def test_worker_in_two_pools_is_refused(self):
        """The capacity of a worker must not be counted twice."""
        text = SMALL + "[pool x]\nworkers=w1@z1/r1\ncores=1\nmemory_mb=1\n"
        self.assert_refused(text, 17, "in pool 'p'")

    def test_queue_larger_than_its_workers_is_refused(self):
        """Requests that no worker can run must not be accepted."""
        text = SMALL.replace("[team t]", "cores = 9\n[team t]")
        self.assert_refused(text, 13, "could never run")

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(FRAGMENTS)
    def test_any_text_gives_a_configuration_or_a_typed_error(self, text):
        """No text may raise anything but a ``ConfigurationError``."""
        try:
            parse_configuration(text)
        except ConfigurationError:
            pass
