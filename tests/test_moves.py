import testtools

from cranberrywheel.process import moves
from cranberrywheel.process.fleet_model import InstanceState, PoolRow, WorkerReport

IDLE = WorkerReport()
BUSY = WorkerReport(running=1)
GONE = WorkerReport(reachable=False)


class MovesTest(testtools.TestCase):
    def test_move_passes_through_each_state(self):
        row = moves.begin_drain(PoolRow(pool="a"), "b", 1)
        self.assertEqual(moves.PlatformAction.DRAIN, moves.action_of(row.state))
        row = moves.advance(row, IDLE, True, False, 2)
        self.assertEqual(("a", InstanceState.EMPTY), (row.pool, row.state))
        moved = moves.advance(row, IDLE, True, False, 3)
        self.assertEqual(PoolRow(pool="b", since_ms=3), moved)
        moved = moves.advance(row, IDLE, True, True, 3)
        self.assertEqual(("b", InstanceState.REBOOTING), (moved.pool, moved.state))

    def test_running_or_silent_worker_is_not_empty(self):
        # Guards against interrupting work of a worker that did not answer.
        row = moves.begin_drain(PoolRow(pool="a"), "", 1)
        for report in (BUSY, GONE):
            self.assertIsNone(moves.advance(row, report, True, True, 10**9))

    def test_reboot_ends_only_when_the_worker_is_back(self):
        # Guards against admitting a worker that is still down or not yet stopped.
        empty = PoolRow(pool="a", state=InstanceState.EMPTY)
        row = moves.advance(empty, IDLE, True, True, 0)
        self.assertEqual(InstanceState.REBOOTING, row.state)
        self.assertIsNone(moves.advance(row, IDLE, False, True, 1))
        self.assertIsNone(moves.advance(row, GONE, True, True, 1))
        back = moves.advance(row, IDLE, True, True, 1)
        self.assertEqual(PoolRow(pool="a", since_ms=1), back)
