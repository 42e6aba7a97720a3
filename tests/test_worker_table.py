import collections
import dataclasses
import random

import testtools
from dispatch_fixtures import SEED, rows

from cranberrywheel.clock import ManualClock
from cranberrywheel.process.worker_table import AttemptVerdict, WorkerTable

OK, FAILED = AttemptVerdict.OK, AttemptVerdict.FAILED
CANCELLED = AttemptVerdict.CANCELLED


class WorkerTableTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.table = self.build_table(rows(8))
        self.table.set_ejection_limit("p", 2)

    def build_table(self, workers):
        table = WorkerTable("z0", random.Random(SEED))
        table.set_workers(workers)
        return table

    def choose(self, *excluded, **options):
        chosen = self.table.choose("p", self.clock.now_ms(), excluded, **options)
        return chosen.name if chosen else None

    def run_attempt(self, worker, verdict=OK, duration_ms=100, expected_ms=None):
        now_ms = self.clock.now_ms()
        self.table.record_start(worker, now_ms)
        self.table.record_end(worker, verdict, duration_ms, now_ms, expected_ms)

    def run_requests(self, count, result_of, interval_ms=10):
        """Run requests one after the other.

        :param result_of: returns verdict, duration and so on for a worker name.
        :returns: number of requests by worker.
        """
        counts = collections.Counter()
        for _ in range(count):
            self.clock.advance(interval_ms)
            worker = self.choose()
            counts[worker] += 1
            self.run_attempt(worker, *result_of(worker))
        return counts

    def fill_workers(self, *workers):
        for worker in workers:
            for _ in range(8):
                self.table.record_start(worker, self.clock.now_ms())

    def test_own_zone_is_preferred_until_it_is_full(self):
        self.assertTrue({self.choose() for _ in range(50)} <= {"w0", "w2", "w4", "w6"})
        self.fill_workers("w0", "w2", "w4", "w6")
        self.assertTrue({self.choose() for _ in range(50)} <= {"w1", "w3", "w5", "w7"})

    def test_full_pool_has_no_capacity(self):
        self.fill_workers(*(f"w{n}" for n in range(7)))
        self.table.set_peer_load("peer", {"w7": 8})
        self.assertFalse(self.table.has_capacity("p", 0))
        self.assertIs(None, self.choose())
        self.table.drop_peer("peer")
        self.assertTrue(self.table.has_capacity("p", 0))
        self.assertEqual("w7", self.choose())
        self.assertFalse(self.table.has_capacity("other", 0))

    def test_peer_load_counts_for_workers_listed_later(self):
        self.table.set_peer_load("peer", {"w9": 8})
        self.table.set_workers(rows(10)[9:])
        self.assertIs(None, self.choose())

    def test_leaving_or_not_serving_workers_get_no_requests(self):
        self.table.set_workers(rows(1) + rows(2, serving=False)[1:])
        self.assertEqual("w0", self.choose())
        self.table.set_leaving(["w0"])
        self.assertIs(None, self.choose())
        self.table.set_leaving([])
        self.assertEqual("w0", self.choose())

    def test_removed_worker_keeps_its_tasks_until_they_end(self):
        self.table.record_start("w0", 0)
        self.table.set_workers([])
        self.assertIs(None, self.choose())
        self.assertEqual({"w0": 1}, self.table.in_flight_by_worker())
        self.table.record_end("w0", OK, 5, 5)
        self.assertEqual({}, self.table.in_flight_by_worker())

    def test_retry_tries_another_rack_first(self):
        chosen = [self.table.choose("p", 0, ["w0"], ["r0", "r2"]) for _ in range(50)]
        self.assertEqual({"r1", "r3"}, {row.rack for row in chosen})
        racks = [f"r{n}" for n in range(4)]
        self.assertNotEqual("w0", self.table.choose("p", 0, ["w0"], racks).name)

    def test_fast_failing_worker_does_not_attract_requests(self):
        """Guards against a worker whose quick failures make it look idle.

        With ejection disabled, only the penalties for its failures add to its load.
        """
        self.table.set_ejection_limit("p", 0)
        counts = self.run_requests(
            2_000, lambda w: (FAILED, 1) if w == "w0" else (OK, 100), interval_ms=2
        )
        self.assertTrue(counts["w0"] < 2_000 / 4, counts)

    def test_worker_that_always_fails_is_ejected_and_probed(self):
        counts = self.run_requests(
            500, lambda w: (FAILED, 1) if w == "w0" else (OK, 100)
        )
        self.assertTrue(3 <= counts["w0"] <= 6, counts)
        self.assertEqual(["w0"], self.table.list_ejected("p"))
        self.clock.advance(60_000)
        # A retry must not be used as a probe.
        self.assertNotEqual("w0", self.choose("w2"))
        # A request that cannot be retried must not be used either.
        self.assertNotEqual("w0", self.choose(may_probe=False))
        self.assertEqual("w0", self.choose())
        self.table.record_start("w0", self.clock.now_ms())
        # There is at most one probe at a time.
        self.assertNotIn("w0", {self.choose() for _ in range(50)})
        self.table.record_end("w0", OK, 100, self.clock.now_ms())
        self.assertEqual([], self.table.list_ejected("p"))

    def eject_w0_and_wait(self):
        self.run_requests(500, lambda w: (FAILED, 1) if w == "w0" else (OK, 100))
        self.clock.advance(60_000)

    def test_probe_that_cannot_be_started_is_not_repeated_at_once(self):
        """Guards against repeated probes of a dead worker that issues no token."""
        self.eject_w0_and_wait()
        self.assertEqual("w0", self.choose())
        self.assertNotIn("w0", {self.choose() for _ in range(50)})
        self.clock.advance(2_000)
        self.assertEqual("w0", self.choose())

    def test_refused_or_cancelled_probe_is_not_repeated_at_once(self):
        for verdict in (AttemptVerdict.REFUSED, CANCELLED):
            self.eject_w0_and_wait()
            self.run_attempt(self.choose(), verdict, 1)
            self.assertNotIn("w0", {self.choose() for _ in range(50)})
            self.assertEqual(["w0"], self.table.list_ejected("p"))

    def test_ejected_worker_that_could_not_be_probed_when_due_is_probed_later(self):
        """Guards against a worker that drains during its backoff and stays ejected."""
        for wait_ms in (0, 60_000):
            self.eject_w0_and_wait()
            self.assertTrue(self.table.has_capacity("p", self.clock.now_ms()))
            self.table.set_leaving(["w0"])
            self.clock.advance(wait_ms)
            self.assertNotIn("w0", {self.choose() for _ in range(20)})
            self.table.set_leaving([])
            self.clock.advance(2_000)
            self.assertEqual("w0", self.choose())
            self.run_attempt("w0")

    def test_probes_of_a_dead_worker_back_off(self):
        counts = self.run_requests(
            60_000, lambda w: (FAILED, 1) if w == "w0" else (OK, 100)
        )
        self.assertTrue(counts["w0"] < 25, counts)

    def test_ejection_never_exceeds_the_limit(self):
        bad = {"w0", "w2", "w4"}
        for _ in range(500):
            self.clock.advance(10)
            if worker := self.choose():
                self.run_attempt(worker, FAILED if worker in bad else OK)
            self.assertTrue(len(self.table.list_ejected("p")) <= 2)
        self.assertEqual(2, len(self.table.list_ejected("p")))
        self.table.set_ejection_limit("p", 1)
        self.assertEqual(1, len(self.table.list_ejected("p")))

    def test_no_worker_is_ejected_when_all_fail_alike(self):
        """Guards against ejections because a dependency of all workers failed."""
        self.run_requests(500, lambda _w: (FAILED, 100), interval_ms=100)
        self.assertEqual([], self.table.list_ejected("p"))

    def test_slow_worker_is_ejected_and_stays_out_while_slow(self):
        self.run_requests(400, lambda w: (OK, 1_000 if w == "w0" else 100))
        self.assertEqual(["w0"], self.table.list_ejected("p"))
        self.clock.advance(10_000)
        self.run_attempt(self.choose(), OK, 1_000)
        self.assertEqual(["w0"], self.table.list_ejected("p"))
        self.clock.advance(10_000)
        self.run_attempt(self.choose(), OK, 100)
        self.assertEqual([], self.table.list_ejected("p"))

    def test_slow_worker_is_ejected_when_callers_cancel_all_its_requests(self):
        self.run_requests(400, lambda w: (CANCELLED, 2_000) if w == "w0" else (OK, 100))
        self.assertEqual(["w0"], self.table.list_ejected("p"))

    def test_short_cancelled_runs_eject_no_worker(self):
        self.run_requests(1_000, lambda w: (CANCELLED, 5) if w == "w0" else (OK, 100))
        self.assertEqual([], self.table.list_ejected("p"))

    def test_mixed_run_times_do_not_make_a_worker_look_slow(self):
        rng = random.Random(SEED)
        self.run_requests(3_000, lambda _w: (OK, round(10 ** rng.uniform(1, 4))))
        self.assertEqual([], self.table.list_ejected("p"))

    def test_failures_caused_by_a_request_do_not_eject_workers(self):
        """Guards against ejections because one faulty request fails on each worker."""
        for _ in range(20):
            self.clock.advance(100)
            for worker in ("w0", "w1", "w2"):
                self.run_attempt(worker, FAILED)
            self.table.retract_failures(["w0", "w1", "w2"], self.clock.now_ms())
            self.assertEqual([], self.table.list_ejected("p"))

    def test_retracting_a_failure_reinstates_an_ejected_worker(self):
        for worker in ["w0"] * 3 + ["w1", "w2"]:
            self.run_attempt(worker, FAILED)
        self.assertEqual(["w0"], self.table.list_ejected("p"))
        self.table.retract_failures(["w0", "w1", "w2"], 0)
        self.assertEqual([], self.table.list_ejected("p"))

    def test_worker_with_a_new_address_loses_its_health_statistics(self):
        self.run_requests(500, lambda w: (FAILED, 1) if w == "w0" else (OK, 100))
        moved = [dataclasses.replace(row, address="127.0.0.9:1") for row in rows(8)]
        self.table.set_workers(moved)
        self.assertEqual([], self.table.list_ejected("p"))

    def test_refused_starts_do_not_count_as_failures(self):
        self.run_requests(500, lambda _w: (AttemptVerdict.REFUSED, 1), interval_ms=50)
        self.assertEqual([], self.table.list_ejected("p"))

    def test_outdated_token_is_not_used(self):
        self.table.set_token("w0", "new", 1_000)
        self.table.set_token("w0", "old", 900)
        self.assertEqual("new", self.table.get_token("w0", 2_000))
        # The worker refuses tokens older than 2 s.
        self.assertIs(None, self.table.get_token("w0", 2_900))
        self.assertIs(None, self.table.get_token("w1", 0))

    def test_worker_with_all_the_long_requests_is_not_ejected_as_slow(self):
        """Guards against comparing run times of different queues of a pool.

        Two queues share the pool, and their run times differ by a factor of 100.
        """
        short, long = (OK, 100, 100), (OK, 10_000, 10_000)
        self.run_requests(100, lambda _w: short)
        self.run_requests(300, lambda w: long if w == "w0" else short)
        self.assertEqual([], self.table.list_ejected("p"))
