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
        self.table = self.table_of(rows(8))
        self.table.set_ejection_limit("p", 2)

    def table_of(self, workers):
        table = WorkerTable("z0", random.Random(SEED))
        table.set_workers(workers)
        return table

    def choose(self, *excluded, **options):
        chosen = self.table.choose("p", self.clock.now_ms(), excluded, **options)
        return chosen.name if chosen else None

    def attempt(self, worker, verdict=OK, duration_ms=100, expected_ms=None):
        now_ms = self.clock.now_ms()
        self.table.started(worker, now_ms)
        self.table.finished(worker, verdict, duration_ms, now_ms, expected_ms)

    def serve(self, count, outcome_of, interval_ms=10):
        """Send requests one after the other; returns how many each worker got."""
        counts = collections.Counter()
        for _ in range(count):
            self.clock.advance(interval_ms)
            worker = self.choose()
            counts[worker] += 1
            self.attempt(worker, *outcome_of(worker))
        return counts

    def fill(self, *workers):
        for worker in workers:
            for _ in range(8):
                self.table.started(worker, self.clock.now_ms())

    def test_own_zone_first_and_spill_over_when_it_is_full(self):
        self.assertTrue({self.choose() for _ in range(50)} <= {"w0", "w2", "w4", "w6"})
        self.fill("w0", "w2", "w4", "w6")
        self.assertTrue({self.choose() for _ in range(50)} <= {"w1", "w3", "w5", "w7"})

    def test_full_pool_has_no_room(self):
        self.fill(*(f"w{n}" for n in range(7)))
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

    def test_leaving_or_not_serving_workers_get_no_work(self):
        self.table.set_workers(rows(1) + rows(2, serving=False)[1:])
        self.assertEqual("w0", self.choose())
        self.table.set_leaving(["w0"])
        self.assertIs(None, self.choose())
        self.table.set_leaving([])
        self.assertEqual("w0", self.choose())

    def test_removed_worker_keeps_its_tasks_until_they_end(self):
        self.table.started("w0", 0)
        self.table.set_workers([])
        self.assertIs(None, self.choose())
        self.assertEqual({"w0": 1}, self.table.in_flight_by_worker())
        self.table.finished("w0", OK, 5, 5)
        self.assertEqual({}, self.table.in_flight_by_worker())

    def test_retry_tries_another_rack_first(self):
        chosen = [self.table.choose("p", 0, ["w0"], ["r0", "r2"]) for _ in range(50)]
        self.assertEqual({"r1", "r3"}, {row.rack for row in chosen})
        racks = [f"r{n}" for n in range(4)]
        self.assertNotEqual("w0", self.table.choose("p", 0, ["w0"], racks).name)

    def test_fast_failing_worker_does_not_attract_work(self):
        # With ejection off, only the load that its failures leave can hold it back.
        self.table.set_ejection_limit("p", 0)
        counts = self.serve(
            2_000, lambda w: (FAILED, 1) if w == "w0" else (OK, 100), interval_ms=2
        )
        self.assertTrue(counts["w0"] < 2_000 / 4, counts)

    def test_worker_that_fails_everything_is_ejected_and_probed(self):
        counts = self.serve(500, lambda w: (FAILED, 1) if w == "w0" else (OK, 100))
        self.assertTrue(3 <= counts["w0"] <= 6, counts)
        self.assertEqual(["w0"], self.table.ejected("p"))
        self.clock.advance(60_000)
        # A retry must not be spent on a probe.
        self.assertNotEqual("w0", self.choose("w2"))
        # Nor a request that cannot be retried.
        self.assertNotEqual("w0", self.choose(may_probe=False))
        self.assertEqual("w0", self.choose())
        self.table.started("w0", self.clock.now_ms())
        # One probe at a time.
        self.assertNotIn("w0", {self.choose() for _ in range(50)})
        self.table.finished("w0", OK, 100, self.clock.now_ms())
        self.assertEqual([], self.table.ejected("p"))

    def eject_and_wait(self):
        self.serve(500, lambda w: (FAILED, 1) if w == "w0" else (OK, 100))
        self.clock.advance(60_000)

    def test_probe_that_cannot_be_started_is_not_offered_again_at_once(self):
        # Guards against a dead worker whose token cannot be fetched for a probe.
        self.eject_and_wait()
        self.assertEqual("w0", self.choose())
        self.assertNotIn("w0", {self.choose() for _ in range(50)})
        self.clock.advance(2_000)
        self.assertEqual("w0", self.choose())

    def test_refused_or_cancelled_probe_is_not_repeated_at_once(self):
        for verdict in (AttemptVerdict.REFUSED, CANCELLED):
            self.eject_and_wait()
            self.attempt(self.choose(), verdict, 1)
            self.assertNotIn("w0", {self.choose() for _ in range(50)})
            self.assertEqual(["w0"], self.table.ejected("p"))

    def test_ejected_worker_that_could_not_be_probed_when_due_is_probed_later(self):
        # Guards against a worker that drains during its backoff and never returns.
        for wait_ms in (0, 60_000):
            self.eject_and_wait()
            self.assertTrue(self.table.has_capacity("p", self.clock.now_ms()))
            self.table.set_leaving(["w0"])
            self.clock.advance(wait_ms)
            self.assertNotIn("w0", {self.choose() for _ in range(20)})
            self.table.set_leaving([])
            self.clock.advance(2_000)
            self.assertEqual("w0", self.choose())
            self.attempt("w0")

    def test_probes_of_a_dead_worker_become_rare(self):
        counts = self.serve(60_000, lambda w: (FAILED, 1) if w == "w0" else (OK, 100))
        self.assertTrue(counts["w0"] < 25, counts)

    def test_ejection_never_exceeds_the_limit(self):
        bad = {"w0", "w2", "w4"}
        for _ in range(500):
            self.clock.advance(10)
            if worker := self.choose():
                self.attempt(worker, FAILED if worker in bad else OK)
            self.assertTrue(len(self.table.ejected("p")) <= 2)
        self.assertEqual(2, len(self.table.ejected("p")))
        self.table.set_ejection_limit("p", 1)
        self.assertEqual(1, len(self.table.ejected("p")))

    def test_no_worker_is_ejected_when_all_fail_alike(self):
        # A failed dependency is not the workers' fault.
        self.serve(500, lambda _w: (FAILED, 100), interval_ms=100)
        self.assertEqual([], self.table.ejected("p"))

    def test_slow_worker_is_ejected_and_stays_out_while_slow(self):
        self.serve(400, lambda w: (OK, 1_000 if w == "w0" else 100))
        self.assertEqual(["w0"], self.table.ejected("p"))
        self.clock.advance(10_000)
        self.attempt(self.choose(), OK, 1_000)
        self.assertEqual(["w0"], self.table.ejected("p"))
        self.clock.advance(10_000)
        self.attempt(self.choose(), OK, 100)
        self.assertEqual([], self.table.ejected("p"))

    def test_slow_worker_is_found_when_callers_cancel_all_its_requests(self):
        self.serve(400, lambda w: (CANCELLED, 2_000) if w == "w0" else (OK, 100))
        self.assertEqual(["w0"], self.table.ejected("p"))

    def test_cancelled_short_runs_eject_nobody(self):
        self.serve(1_000, lambda w: (CANCELLED, 5) if w == "w0" else (OK, 100))
        self.assertEqual([], self.table.ejected("p"))

    def test_mixed_run_times_do_not_make_a_worker_look_slow(self):
        rng = random.Random(SEED)
        self.serve(3_000, lambda _w: (OK, round(10 ** rng.uniform(1, 4))))
        self.assertEqual([], self.table.ejected("p"))

    def test_workers_are_excused_when_the_request_was_the_cause(self):
        # One team's broken request fails on three workers, over and over.
        for _ in range(20):
            self.clock.advance(100)
            for worker in ("w0", "w1", "w2"):
                self.attempt(worker, FAILED)
            self.table.retract_failures(["w0", "w1", "w2"], self.clock.now_ms())
            self.assertEqual([], self.table.ejected("p"))

    def test_excuse_reinstates_an_ejected_worker(self):
        for worker in ["w0"] * 3 + ["w1", "w2"]:
            self.attempt(worker, FAILED)
        self.assertEqual(["w0"], self.table.ejected("p"))
        self.table.retract_failures(["w0", "w1", "w2"], 0)
        self.assertEqual([], self.table.ejected("p"))

    def test_rebooted_worker_loses_its_health_record(self):
        self.serve(500, lambda w: (FAILED, 1) if w == "w0" else (OK, 100))
        moved = [dataclasses.replace(row, address="127.0.0.9:1") for row in rows(8)]
        self.table.set_workers(moved)
        self.assertEqual([], self.table.ejected("p"))

    def test_refused_start_is_no_failure(self):
        self.serve(500, lambda _w: (AttemptVerdict.REFUSED, 1), interval_ms=50)
        self.assertEqual([], self.table.ejected("p"))

    def test_old_token_is_not_used(self):
        self.table.set_token("w0", "new", 1_000)
        self.table.set_token("w0", "old", 900)
        self.assertEqual("new", self.table.token("w0", 2_000))
        # The worker refuses tokens older than 2 s.
        self.assertIs(None, self.table.token("w0", 2_900))
        self.assertIs(None, self.table.token("w1", 0))

    def test_worker_with_all_the_long_requests_is_not_slow(self):
        # Two queues share the pool; their run times differ 100 times.
        short, long = (OK, 100, 100), (OK, 10_000, 10_000)
        self.serve(100, lambda _w: short)
        self.serve(300, lambda w: long if w == "w0" else short)
        self.assertEqual([], self.table.ejected("p"))
