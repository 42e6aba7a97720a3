import collections
import random

import testtools
from dispatch_fixtures import SEED

from cranberrywheel.request.routing import SamplingList, choose_worker


def make_list(*items):
    found = SamplingList()
    for item in items:
        found.add(item)
    return found


class RoutingTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.rng = random.Random(SEED)

    def test_local_zone_is_preferred_to_other_zones(self):
        """A less loaded remote worker must not draw requests out of the zone."""
        get_load = lambda worker, _now: {"near": 0.9, "far": 0.0}[worker]
        for near, expected in ((make_list("near"), "near"), (make_list(), "far")):
            groups = (near, make_list("far"))
            self.assertEqual(expected, choose_worker(groups, get_load, self.rng, 0))

    def test_unusable_group_is_skipped(self):
        """A local zone without usable workers must not block requests."""
        groups, get_load = (
            (make_list(*"abc"), make_list("d")),
            lambda worker, _now: {"d": 0.0}.get(worker),
        )
        self.assertEqual("d", choose_worker(groups, get_load, self.rng, 0))

    def test_single_usable_worker_among_many_is_found(self):
        """Random draws alone would miss the only worker that can take a request."""
        items = make_list(*range(100))
        get_load = lambda worker, _now: {77: 0.0}.get(worker)
        self.assertEqual(77, choose_worker((items,), get_load, self.rng, 0))
        self.assertIs(None, choose_worker((items,), lambda *_: None, self.rng, 0))

    def test_most_loaded_worker_is_chosen_least(self):
        """Requests must not herd on one worker.

        One sample ignores the load; a full scan always picks the same worker.
        """
        items = make_list(*range(10))
        counts = collections.Counter(
            choose_worker((items,), lambda worker, _now: float(worker), self.rng, 0)
            for _ in range(2_000)
        )
        self.assertTrue(counts[9] < 60, counts)
        self.assertTrue(200 < counts[0] < 600, counts)

    def test_sampling_list_stays_consistent(self):
        """A removal must not lose or duplicate the item that takes its position."""
        items, expected = SamplingList(), set()
        for _ in range(2_000):
            item = self.rng.randrange(30)
            if self.rng.random() < 0.5:
                items.add(item)
                expected.add(item)
            else:
                items.discard(item)
                expected.discard(item)
            self.assertEqual(expected, {items[i] for i in range(len(items))})
            self.assertEqual(len(expected), len(items))
