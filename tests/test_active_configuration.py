import testtools
from entry_group_fixtures import TEXT

from cranberrywheel.connection.store_client import Record
from cranberrywheel.errors import StoreError, UnauthorizedError
from cranberrywheel.version.active_configuration import (
    ActiveConfiguration,
    build_configuration_body,
)
from cranberrywheel.version.configuration import parse_configuration
from cranberrywheel.version.differences import list_differences
from cranberrywheel.version.keys import authenticate, create_key
from cranberrywheel.version.records import prepare_write


def make_record(revision, text=TEXT, keys=(), revoked=()):
    body = build_configuration_body(text, 1, {key.key_id: key for key in keys}, revoked)
    value = prepare_write("configuration", None, "e1", body).value
    return Record("configuration", value, revision)


class ActiveConfigurationTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.versions = []
        self.active = ActiveConfiguration(
            lambda snapshot: self.versions.append(snapshot.version)
        )

    def test_versions_never_go_back(self):
        """A record that a peer sent late must not undo a newer version."""
        adopted = [
            self.active.adopt(make_record(revision)) for revision in (3, 2, 3, 7, 5)
        ]
        self.assertEqual([True, False, False, True, False], adopted)
        self.assertEqual([3, 7], self.versions)
        self.assertEqual(7, self.active.record.revision)

    def test_malformed_record_changes_nothing(self):
        """A malformed record must not remove the version in use."""
        self.active.adopt(make_record(3))
        bad_text = make_record(4, "no text")
        self.assertRaises(StoreError, self.active.adopt, bad_text)
        self.assertRaises(StoreError, self.active.adopt, Record("c", "{}", 5))
        self.assertEqual(3, self.active.version)

    def test_revoked_key_is_not_granted(self):
        """A key in both lists must count as revoked."""
        key, entry = create_key("t")
        other, other_entry = create_key("t")
        stored = make_record(1, keys=(entry, other_entry), revoked=(entry.key_id,))
        self.active.adopt(stored)
        snapshot = self.active.snapshot
        self.assertEqual({other_entry.key_id}, set(snapshot.keys_by_id))

        def check(header, revoked=()):
            return authenticate(header, snapshot.keys_by_id, revoked)

        self.assertEqual("t", check(f"Bearer {other}").team)
        revoked_ids = {other_entry.key_id}
        self.assertRaises(UnauthorizedError, check, f"Bearer {other}", revoked_ids)
        for header in ("", other, f"Bearer {key}", f"Bearer {other}x", "Bearer ."):
            self.assertRaises(UnauthorizedError, check, header)

    def test_stored_record_has_no_secret(self):
        """Read access to the store must not reveal usable keys."""
        key, entry = create_key("t")
        self.assertNotIn(key.split(".")[1], make_record(1, keys=(entry,)).value)

    def test_differences_name_what_changed(self):
        """An incomplete list would mislead an operator after a version conflict."""
        old = parse_configuration(TEXT)
        text = TEXT.replace("limit = 12", "limit = 9").replace(", w2@z1/r1", "")
        lines = list_differences(old, parse_configuration(text + "[zone z3]\n"))
        self.assertIn("team t: limit changed from 12 to 9", lines)
        self.assertIn("worker w2: removed", lines)
        self.assertIn("zone z3: added", lines)
        self.assertEqual([], list_differences(old, parse_configuration(TEXT)))
