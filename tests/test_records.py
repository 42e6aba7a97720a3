import json

import testtools

from cranberrywheel.connection.store_client import Record
from cranberrywheel.errors import StoreError
from cranberrywheel.version.records import (
    RECENT_WRITE_IDS,
    WriteOutcome,
    parse_record,
    prepare_write,
    resolve_lost_write,
)


class RecordsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.base = self.write_after(None, 1)

    def write_after(self, base, revision):
        write = prepare_write("limits/t", base, "e1", {"n": revision})
        return parse_record(Record("limits/t", write.value, revision))

    def test_write_is_found_after_later_writes(self):
        """A writer must not repeat a write that later writes are based on."""
        write = prepare_write("limits/t", self.base, "e1", {})
        current = parse_record(Record("limits/t", write.value, 2))
        for revision in range(3, 3 + RECENT_WRITE_IDS):
            self.assertIs(WriteOutcome.WRITTEN, resolve_lost_write(write, current))
            current = self.write_after(current, revision)

    def test_outcome_after_writes_of_others(self):
        """'Not written' must be reported only while the list of ids proves it."""
        write = prepare_write("limits/t", self.base, "e1", {})
        current = self.base
        for revision in range(2, 2 + RECENT_WRITE_IDS):
            current = self.write_after(current, revision)
            self.assertIs(WriteOutcome.NOT_WRITTEN, resolve_lost_write(write, current))
        current = self.write_after(current, 50)
        self.assertIs(WriteOutcome.UNKNOWN, resolve_lost_write(write, current))

    def test_unchanged_record_leaves_the_outcome_open(self):
        """A delayed write may still arrive after the record was read back."""
        write = prepare_write("limits/t", self.base, "e1", {})
        self.assertIs(WriteOutcome.PENDING, resolve_lost_write(write, self.base))
        first = prepare_write("limits/t", None, "e1", {})
        self.assertIs(WriteOutcome.PENDING, resolve_lost_write(first, None))
        self.assertIs(WriteOutcome.NOT_WRITTEN, resolve_lost_write(first, self.base))
        self.assertIs(WriteOutcome.UNKNOWN, resolve_lost_write(write, None))

    def test_malformed_values_are_refused(self):
        """A value written by another program must not be taken for a record."""
        good = json.loads(self.base.record.value)
        for bad in ("", "[]", "{}", json.dumps({**good, "body": 1}), "\ud800"):
            error = self.assertRaises(StoreError, parse_record, Record("k", bad, 7))
            self.assertIn("k at revision 7", error.message)
