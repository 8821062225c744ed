"""Tests that object tables can be merged in any order."""

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from radishshift.object_table import MAX_COVERED_DELETIONS, ObjectTable
from radishshift.objects import (
    Kind,
    Listing,
    StoredObject,
    era_of,
    in_era,
    within_era,
)
from tests.cases import TestCase

NAMES = st.sampled_from(["a", "b", "c"])
# Each step writes (True) or deletes (False) an object; its position is the revision.
HISTORY = st.lists(st.tuples(NAMES, st.booleans()), min_size=1, max_size=12)


def _item(name, revision):
    return StoredObject(Kind.ENTRY, name, {"at": revision}, {}, revision)


def _state_at(history, revision):
    revisions = {}
    for at, (name, written) in enumerate(history[:revision], 1):
        if written:
            revisions[name] = at
        else:
            revisions.pop(name, None)
    return revisions


def _replay(history, listed, missed=()):
    """Return a table made from a listing and the watch events not in `missed`."""
    table = ObjectTable(Kind.ENTRY)
    items = tuple(_item(name, at) for name, at in _state_at(history, listed).items())
    table.apply_listing(Listing(items, listed))
    for at, (name, written) in enumerate(history, 1):
        if at <= listed or at in missed:
            continue
        if written:
            table.upsert(_item(name, at))
        else:
            table.apply_deletion(name, at)
    return table


def _revisions(table):
    return {name: item.revision for name, item in table.items.items()}


class ObjectTableTest(TestCase):
    @settings(max_examples=150, derandomize=True, deadline=None)
    @given(HISTORY, st.data())
    def test_merging_never_lowers_a_revision_and_does_not_depend_on_order(
        self, history, data
    ):
        points = st.integers(0, len(history))
        gap = data.draw(st.sets(st.integers(1, len(history)), max_size=3))
        one = _replay(history, data.draw(points), gap)
        other = _replay(history, data.draw(points))
        before = _revisions(one)
        first, second = one.delta(other.head, True), other.delta(one.head, True)
        one.merge(second)
        other.merge(first)
        self.assertEqual(one.head, other.head)
        self.assertEqual(_revisions(one), _revisions(other))
        for name, revision in _revisions(one).items():
            self.assertGreaterEqual(revision, before.get(name, 0))

    @settings(max_examples=150, derandomize=True, deadline=None)
    @given(HISTORY, st.data())
    def test_a_listing_repairs_a_gap_in_the_watch(self, history, data):
        points = st.integers(0, len(history))
        gap = data.draw(st.sets(st.integers(1, len(history)), max_size=3))
        table = _replay(history, data.draw(points), gap)
        final = _state_at(history, len(history))
        items = tuple(_item(name, at) for name, at in final.items())
        table.apply_listing(Listing(items, len(history)))
        self.assertEqual(final, _revisions(table))

    def test_the_digest_reveals_a_gap_that_a_delta_hides(self):
        history = [("a", True), ("b", True), ("c", True)]
        whole = _replay(history, 0)
        with_gap = _replay(history, 0, {2})
        with_gap.merge(whole.delta(with_gap.head))
        self.assertNotEqual(whole.head, with_gap.head)
        with_gap.merge(whole.delta(with_gap.head, True))
        self.assertEqual(whole.head, with_gap.head)

    def test_a_stale_peer_does_not_revive_an_object_deleted_before_a_listing(self):
        """A stale peer still holds an object that was deleted long ago."""
        stale = _replay([("a", True)], 1)
        table = _replay([("a", True), ("a", False), ("b", True)], 3)
        table.merge(stale.delta(table.head, True))
        self.assertEqual({"b": 3}, _revisions(table))


def _named(revision, count):
    routes = [{"name": f"r-{number}", "at": 0} for number in range(count)]
    return StoredObject(Kind.ENTRY, "main", {"routes": routes}, {}, revision)


class PatchesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.one = ObjectTable(Kind.ENTRY, past_states=2)
        self.other = ObjectTable(Kind.ENTRY, past_states=2)
        for table in (self.one, self.other):
            table.upsert(_named(1, 100))

    def test_a_table_that_is_behind_gets_a_patch(self):
        self.one.upsert(_named(5, 101))
        delta = self.one.delta(self.other.head)
        self.assertEqual(([], 1), (delta.items, len(delta.patches)))
        self.assertTrue(self.other.merge(delta))
        self.assertEqual(self.one.head, self.other.head)
        self.assertEqual(self.one.items, self.other.items)

    def test_a_table_that_is_far_behind_gets_the_object(self):
        for revision in (5, 6, 7):
            self.one.upsert(_named(revision, 100 + revision))
        delta = self.one.delta(self.other.head)
        self.assertEqual((1, []), (len(delta.items), delta.patches))

    def test_a_patch_that_comes_late_changes_nothing(self):
        self.one.upsert(_named(5, 101))
        delta = self.one.delta(self.other.head)
        self.other.upsert(_named(7, 90))
        self.assertFalse(self.other.merge(delta))
        self.assertEqual(7, self.other.items["main"].revision)

    def test_a_patch_that_does_not_fit_leaves_the_head_so_that_the_object_follows(self):
        """A restored store gives out a revision twice, for different objects."""
        self.other = ObjectTable(Kind.ENTRY)
        self.other.upsert(_named(1, 99))
        before = self.other.head
        self.one.upsert(_named(5, 101))
        self.assertFalse(self.other.merge(self.one.delta(before)))
        self.assertEqual(before, self.other.head)
        self.assertTrue(self.other.merge(self.one.delta(before, whole=True)))
        self.assertEqual(self.one.items, self.other.items)


class DeletionsTest(TestCase):
    def _tables(self):
        tables = ObjectTable(Kind.ENTRY), ObjectTable(Kind.ENTRY)
        for table in tables:
            table.apply_listing(Listing((_item("a", 1), _item("b", 2)), 2))
        return tables

    def test_a_deletion_is_forgotten_with_the_next_listing(self):
        """A host went on using an endpoint 6.7 s after the others had removed it."""
        one, other = self._tables()
        one.apply_deletion("a", 3)
        one.apply_listing(Listing((_item("b", 2),), 4))
        one.upsert(_item("c", 5))
        other.merge(one.delta(other.head))
        self.assertEqual(one.items, other.items)

    def test_a_deletion_that_only_a_listing_shows_reaches_other_tables(self):
        one, other = self._tables()
        one.apply_listing(Listing((_item("b", 2),), 4))
        one.upsert(_item("c", 5))
        other.merge(one.delta(other.head))
        self.assertEqual(one.items, other.items)

    def test_an_object_that_is_created_again_outlives_its_deletion(self):
        one, other = self._tables()
        one.apply_listing(Listing((_item("b", 2),), 4))
        one.upsert(_item("a", 5))
        other.upsert(_item("a", 5))
        other.merge(one.delta(other.head))
        self.assertIn("a", other.items)

    def test_a_table_that_missed_forgotten_deletions_gets_all_objects(self):
        one, other = self._tables()
        for number in range(MAX_COVERED_DELETIONS + 1):
            one.upsert(_item(f"x{number}", 3 + 2 * number))
            one.apply_deletion(f"x{number}", 4 + 2 * number)
        one.apply_deletion("a", 2001)
        one.apply_listing(Listing((_item("b", 2),), 2002))
        self.assertLessEqual(len(one.deleted), MAX_COVERED_DELETIONS)
        delta = one.delta(other.head)
        self.assertTrue(delta.whole)
        other.merge(delta)
        self.assertEqual(one.items, other.items)

    def test_a_peer_that_started_after_a_deletion_does_not_hide_it(self):
        """A host kept an endpoint that was gone: its head said that it knew more."""
        behind, started = ObjectTable(Kind.ENTRY), ObjectTable(Kind.ENTRY)
        behind.apply_listing(Listing((_item("a", 1),), 1))
        started.apply_listing(Listing((_item("b", 3),), 3))
        sent = None
        for _ in range(3):
            head = behind.head
            delta = started.delta_for(head, sent)
            if delta is not None:
                behind.merge(delta)
            sent = head
        self.assertEqual(started.items, behind.items)


class _Fleet(RuleBasedStateMachine):
    """A store and the tables of three hosts that list, watch, gossip and restart.

    The store may come back from an older copy; its revisions are then of the next era.
    """

    hosts = st.integers(0, 2)

    def __init__(self):
        super().__init__()
        self.history = [("a", True)]
        self.era = 0
        self.tables = [ObjectTable(Kind.ENTRY, past_states=4) for _ in range(3)]
        self.sent = [{} for _ in range(3)]  # heads to which deltas were sent, by host
        self.on_the_way = []

    def _item(self, name, at):
        revision = in_era(self.era, at)
        return StoredObject(Kind.ENTRY, name, {"at": revision}, {}, revision)

    @rule(name=NAMES, written=st.booleans())
    def change(self, name, written):
        if written or name in _state_at(self.history, len(self.history)):
            self.history.append((name, written))

    @rule(lost=st.integers(1, 3))
    def restore(self, lost):
        self.history = self.history[: max(1, len(self.history) - lost)]
        self.era += 1

    @rule(host=hosts, behind=st.integers(0, 3))
    def list_objects(self, host, behind):
        revision = max(1, len(self.history) - behind)
        state = _state_at(self.history, revision).items()
        items = tuple(self._item(name, at) for name, at in state)
        listing = Listing(items, in_era(self.era, revision))
        self.tables[host].apply_listing(listing)

    @rule(host=hosts)
    def read_changes(self, host):
        table = self.tables[host]
        since = table.head.complete
        if not since or era_of(since) != self.era:
            return
        for at, (name, written) in enumerate(self.history, 1):
            if at <= within_era(since):
                continue
            if written:
                table.upsert(self._item(name, at))
            else:
                table.apply_deletion(name, in_era(self.era, at))
        table.confirm(in_era(self.era, len(self.history)))

    @rule(host=hosts, name=NAMES)
    def read_one(self, host, name):
        at = _state_at(self.history, len(self.history)).get(name)
        if at is not None:
            self.tables[host].merge_object(self._item(name, at))

    @rule(host=hosts)
    def restart(self, host):
        self.tables[host] = ObjectTable(Kind.ENTRY, past_states=4)
        self.sent[host] = {}

    @rule(host=hosts, peer=hosts)
    def state_head(self, host, peer):
        """Have a peer receive the host's head, and send what the host lacks."""
        if host == peer:
            return
        head = self.tables[host].head
        table = self.tables[peer]
        if head.digest == table.head.digest:
            table.confirm(head.complete)
        delta = table.delta_for(head, self.sent[peer].get(host))
        if delta is not None:
            self.sent[peer][host] = head
            self.on_the_way.append((host, delta))

    @rule(data=st.data(), arrives=st.booleans())
    def end_message(self, data, arrives):
        if self.on_the_way:
            index = data.draw(st.integers(0, len(self.on_the_way) - 1))
            host, delta = self.on_the_way.pop(index)
            if arrives:
                self.tables[host].merge(delta)

    @invariant()
    def each_table_reflects_the_revision_that_it_states(self):
        for table in self.tables:
            complete = table.head.complete
            if era_of(complete) != self.era:
                continue
            stated = {
                name: (at, written)
                for at, (name, written) in enumerate(self.history, 1)
                if at <= within_era(complete)
            }
            for name, (at, written) in stated.items():
                held = _revisions(table).get(name, 0)
                later = [
                    in_era(self.era, later_at)
                    for later_at, (other, _) in enumerate(self.history, 1)
                    if other == name and later_at > at
                ]
                stated_revision = in_era(self.era, at) if written else 0
                allowed = {stated_revision, *later, *([0] if later else [])}
                assert held in allowed, (name, held, table.head)


class FleetTest(_Fleet.TestCase):
    """A host kept an endpoint that was gone: a peer that never had it sent the rest."""

    settings = settings(
        max_examples=400, stateful_step_count=25, derandomize=True, deadline=None
    )


class RankedTableTest(TestCase):
    def test_a_later_object_outlives_a_restore_and_reaches_hosts_that_start(self):
        """The operators write the configuration again, but only seconds later."""
        one, other = (
            ObjectTable(Kind.ENTRY, 2, lambda item: item.spec["at"]) for _ in range(2)
        )
        newest = replace(_item("main", 9), revision=9)
        one.apply_listing(Listing((newest,), 9))
        copied = replace(_item("main", 4), revision=in_era(1, 4))
        for table in (one, other):
            table.apply_listing(Listing((copied,), in_era(1, 5)))
        self.assertEqual([9, 4], [t.items["main"].spec["at"] for t in (one, other)])
        sent = None
        for _ in range(2):
            head = other.head
            delta = one.delta_for(head, sent)
            sent = head
            if delta is not None:
                other.merge(delta)
        self.assertEqual(one.items, other.items)
        self.assertIsNone(one.delta_for(other.head, None))
        again = replace(newest, revision=in_era(1, 6))
        for table in (one, other):
            self.assertTrue(table.upsert(again))
