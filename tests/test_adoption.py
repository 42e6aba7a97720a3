import testtools
from entry_group_fixtures import TEXT

from cranberrywheel.connection.store_client import Record
from cranberrywheel.errors import StoreError, UnauthorizedError
from cranberrywheel.version.adoption import ConfigurationHolder, dump_body
from cranberrywheel.version.configuration import parse_configuration
from cranberrywheel.version.differences import list_differences
from cranberrywheel.version.keys import authorize, create_key
from cranberrywheel.version.records import prepare_write


def record(revision, text=TEXT, keys=(), withdrawn=()):
    body = dump_body(text, 1, {k.key_id: k for k in keys}, withdrawn)
    value = prepare_write("configuration", None, "e1", body).value
    return Record("configuration", value, revision)


class AdoptionTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.versions = []
        self.holder = ConfigurationHolder(lambda s: self.versions.append(s.version))

    def test_versions_never_go_back(self):
        """A record that a peer sent late must not undo a newer version."""
        adopted = [self.holder.adopt(record(r)) for r in (3, 2, 3, 7, 5)]
        self.assertEqual([True, False, False, True, False], adopted)
        self.assertEqual([3, 7], self.versions)
        self.assertEqual(7, self.holder.record.revision)

    def test_malformed_record_changes_nothing(self):
        """A bad record must not take the version in force away."""
        self.holder.adopt(record(3))
        bad_text = record(4, "no text")
        self.assertRaises(StoreError, self.holder.adopt, bad_text)
        self.assertRaises(StoreError, self.holder.adopt, Record("c", "{}", 5))
        self.assertEqual(3, self.holder.version)

    def test_withdrawn_key_is_not_granted(self):
        """A key in both lists must count as withdrawn."""
        key, entry = create_key("t")
        other, other_entry = create_key("t")
        stored = record(1, keys=(entry, other_entry), withdrawn=(entry.key_id,))
        self.holder.adopt(stored)
        snapshot = self.holder.snapshot
        self.assertEqual({other_entry.key_id}, set(snapshot.keys_by_id))

        def check(header, withdrawn=()):
            return authorize(header, snapshot.keys_by_id, withdrawn)

        self.assertEqual("t", check(f"Bearer {other}").team)
        marked = {other_entry.key_id}
        self.assertRaises(UnauthorizedError, check, f"Bearer {other}", marked)
        for header in ("", other, f"Bearer {key}", f"Bearer {other}x", "Bearer ."):
            self.assertRaises(UnauthorizedError, check, header)

    def test_stored_record_has_no_secret(self):
        """Whoever reads the store must not learn usable keys."""
        key, entry = create_key("t")
        self.assertNotIn(key.split(".")[1], record(1, keys=(entry,)).value)

    def test_differences_name_what_changed(self):
        """An operator who lost a race needs them to merge."""
        old = parse_configuration(TEXT)
        text = TEXT.replace("limit = 12", "limit = 9").replace(", w2@z1/r1", "")
        lines = list_differences(old, parse_configuration(text + "[zone z3]\n"))
        self.assertIn("team t: limit changed from 12 to 9", lines)
        self.assertIn("worker w2: removed", lines)
        self.assertIn("zone z3: added", lines)
        self.assertEqual([], list_differences(old, parse_configuration(TEXT)))
