import collections
import random

import testtools
from dispatch_fixtures import SEED

from cranberrywheel.request.routing import SamplingList, choose_worker


def group(*items):
    found = SamplingList()
    for item in items:
        found.add(item)
    return found


class RoutingTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.rng = random.Random(SEED)

    def test_own_zone_first_then_spill_over(self):
        view = lambda w, _now: {"near": 0.9, "far": 0.0}[w]
        for near, expected in ((group("near"), "near"), (group(), "far")):
            groups = (near, group("far"))
            self.assertEqual(expected, choose_worker(groups, view, self.rng, 0))

    def test_unusable_group_spills_over(self):
        groups, view = (group(*"abc"), group("d")), lambda w, _: {"d": 0.0}.get(w)
        self.assertEqual("d", choose_worker(groups, view, self.rng, 0))

    def test_single_usable_worker_among_many_is_found(self):
        items = group(*range(100))
        view = lambda w, _now: {77: 0.0}.get(w)
        self.assertEqual(77, choose_worker((items,), view, self.rng, 0))
        self.assertIs(None, choose_worker((items,), lambda *_: None, self.rng, 0))

    def test_most_loaded_worker_is_chosen_least(self):
        # Guards against herding: one sample ignores load, a full scan picks one only.
        items = group(*range(10))
        counts = collections.Counter(
            choose_worker((items,), lambda w, _now: float(w), self.rng, 0)
            for _ in range(2_000)
        )
        self.assertTrue(counts[9] < 60, counts)
        self.assertTrue(200 < counts[0] < 600, counts)

    def test_sampling_list_stays_consistent(self):
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
