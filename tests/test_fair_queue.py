import collections
import random

import testtools
from dispatch_fixtures import SEED, request

from cranberrywheel.errors import OverloadedError
from cranberrywheel.request.fair_queue import FairQueue


def always(_team):
    return True


class FairQueueTest(testtools.TestCase):
    def queue(self, *requests, max_queued=100):
        queue = FairQueue(max_queued)
        for item in requests:
            queue.push(item)
        return queue

    def pop_ids(self, queue, shares, usage, may_start=always, now_ms=0):
        ids = []
        while found := queue.pop(now_ms, shares, usage, may_start):
            ids.append(found.request_id)
        return ids

    def test_urgent_goes_before_teams_that_are_further_below_their_share(self):
        """Fairness must not delay urgent requests."""
        queue = self.queue(request("a1"), request("b1", "b", urgent=True))
        self.assertEqual(["b1", "a1"], self.pop_ids(queue, {}, {"b": 50}))

    def test_urgent_work_of_a_team_at_its_limit_does_not_block_others(self):
        """An urgent request that may not start must not hold up startable ones."""
        queue = self.queue(request("a1", urgent=True), request("b1", "b"))
        ids = self.pop_ids(queue, {}, {}, lambda team: team != "a")
        self.assertEqual(["b1"], ids)
        self.assertEqual({"a": 1}, queue.queued_by_team())

    def test_team_farthest_below_its_share_goes_first(self):
        """Equal usage must not count as fair when the shares differ."""
        queue = self.queue(request("a1"), request("b1", "b"), request("c1", "c"))
        shares = {"a": 0.6, "b": 0.3, "c": 0.1}
        self.assertEqual(
            "b1", queue.pop(0, shares, {"a": 6, "b": 2, "c": 2}, always).request_id
        )

    def test_teams_of_equal_rank_are_served_in_turn(self):
        """A fixed order of teams would starve some while the reported usage lags."""
        queue = self.queue(*(request(f"{t}{n}", t) for t in "abc" for n in range(2)))
        ids = self.pop_ids(queue, {}, {})
        self.assertEqual(["a0", "b0", "c0", "a1", "b1", "c1"], ids)

    def test_idle_share_is_used_by_the_team_with_work(self):
        """Slots must not stay idle because the only busy team is over its share."""
        queue = self.queue(*(request(f"a{n}") for n in range(5)))
        ids = self.pop_ids(queue, {"a": 0.1, "b": 0.9}, {"a": 50})
        self.assertEqual(["a0", "a1", "a2", "a3", "a4"], ids)

    def test_usage_that_fell_since_the_last_pop_counts_at_once(self):
        """A cached rank must not hold back a team whose tasks have ended."""
        queue = self.queue(*(request(f"{t}{n}", t) for n in range(9) for t in "ab"))
        shares = {"a": 0.5, "b": 0.5}
        for _ in range(3):
            self.assertEqual("b", queue.pop(0, shares, {"a": 9}, always).team)
        self.assertEqual("a", queue.pop(0, shares, {"b": 9}, always).team)

    def test_full_queue_refuses_but_evicts_expired_requests_first(self):
        """Expired requests must not use up the entries of live ones."""
        queue = self.queue(request("old", deadline_ms=5), request("r2"), max_queued=2)
        self.assertRaises(OverloadedError, queue.push, request("r3", arrived_ms=4))
        queue.push(request("r4", arrived_ms=5))
        self.assertEqual(2, len(queue))
        self.assertEqual(["old"], [r.request_id for r in queue.take_expired(5)])
        self.assertEqual([], queue.take_expired(5))

    def test_full_queue_keeps_entries_for_urgent_requests(self):
        """A burst of normal requests must not lock out urgent ones."""
        queue = self.queue(
            *(request(f"r{n}", f"t{n}") for n in range(150)), max_queued=160
        )
        self.assertRaises(OverloadedError, queue.push, request("more", "more"))
        for count in range(10):
            queue.push(request(f"u{count}", "t0", urgent=True))
        item = request("u10", urgent=True)
        self.assertRaises(OverloadedError, queue.push, item)

    def test_expired_request_is_never_started(self):
        """An expired request must not use a slot, even if it is urgent."""
        queue = self.queue(request("old", deadline_ms=5, urgent=True), request("r2"))
        self.assertEqual("r2", queue.pop(5, {}, {}, always).request_id)
        self.assertEqual(["old"], [r.request_id for r in queue.take_expired(5)])

    def test_request_that_cannot_end_in_time_is_not_started(self):
        """A start after the latest start would only waste a slot."""
        queue = FairQueue(10)
        queue.push(request("late"), latest_start_ms=50)
        self.assertEqual("late", queue.pop(49, {}, {}, always).request_id)
        # The heap entry of the first push must not evict the second.
        queue.push(request("late"), latest_start_ms=90)
        self.assertEqual([], queue.take_expired(89))
        self.assertIs(None, queue.pop(90, {}, {}, always))
        self.assertEqual(["late"], [r.request_id for r in queue.take_expired(90)])

    def test_cancelled_request_leaves_nothing_behind(self):
        """A cancelled request must neither start, expire nor count as queued."""
        queue = self.queue(request("r1"), request("r2"))
        self.assertEqual("r1", queue.remove("r1").request_id)
        self.assertIs(None, queue.remove("r1"))
        self.assertEqual(["r2"], self.pop_ids(queue, {}, {}))
        self.assertEqual({}, queue.queued_by_team())
        self.assertEqual([], queue.take_expired(99_999))

    def test_repeated_cancellations_do_not_grow_the_heap(self):
        """Heap entries of cancelled requests must not accumulate."""
        queue = FairQueue(10)
        for number in range(5_000):
            queue.push(request(f"r{number}"))
            queue.remove(f"r{number}")
        self.assertTrue(len(queue._deadlines) < 200)

    def test_predicted_position_follows_the_share(self):
        """A team must not be refused because of another team's long queue."""
        queue = self.queue(*(request(f"a{n}") for n in range(50)), request("b", "b"))
        self.assertEqual(0, queue.estimate_requests_ahead("c", False, 0.1))
        self.assertEqual(10, queue.estimate_requests_ahead("b", False, 0.1))
        self.assertEqual(51, queue.estimate_requests_ahead("a", False, 0.1))
        queue.push(request("u", "a", urgent=True))
        self.assertEqual(0, queue.estimate_requests_ahead("b", True, 0.1))
        self.assertEqual(1, queue.estimate_requests_ahead("c", False, 0.1))
        queue.remove("u")
        self.assertEqual(0, queue.estimate_requests_ahead("c", False, 0.0))

    def test_no_team_starves_when_another_bursts_to_five_times_its_mean(self):
        """Four teams must get their shares while team "a" offers ten times their load.

        All teams have the same share.
        """
        shares = dict.fromkeys("abcde", 0.2)
        served, offered = self.run_burst(shares, {"a": 10.0} | dict.fromkeys("bcde", 1))
        for team in "bcde":
            self.assertTrue(
                served[team] >= 0.9 * min(offered[team], 0.2 * 2_000), (team, served)
            )

    def test_many_small_teams_do_not_starve_a_large_one(self):
        """One slot for each small team would leave no slot to the large team."""
        shares = {"large": 0.5} | {f"small{n}": 0.05 for n in range(10)}
        weights = {"large": 10.0} | dict.fromkeys(list(shares)[1:], 1.0)
        served, _ = self.run_burst(shares, weights)
        for team, share in shares.items():
            self.assertTrue(served[team] >= 0.85 * share * 2_000, (team, served))

    def run_burst(self, shares, weights, slots=8, steps=2_000):
        rng = random.Random(SEED)
        queue, running = FairQueue(100), collections.deque()
        served, offered = collections.Counter(), collections.Counter()
        for step in range(steps):
            for number in range(5):
                team = rng.choices(list(weights), list(weights.values()))[0]
                offered[team] += 1
                item = request(f"{step}.{number}", team, step, deadline_ms=step + 200)
                try:
                    queue.push(item)
                except OverloadedError:
                    continue
            if len(running) == slots:
                running.popleft()
            usage = collections.Counter(running)
            if found := queue.pop(step, shares, usage, always):
                running.append(found.team)
                served[found.team] += 1
            queue.take_expired(step)
        return served, offered
