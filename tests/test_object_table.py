"""Tests of tables of objects that are joined in any order."""

from hypothesis import given, settings
from hypothesis import strategies as st

from radishshift.object_table import ObjectTable
from radishshift.objects import Kind, Listing, StoredObject
from tests.cases import TestCase

NAMES = st.sampled_from(["a", "b", "c"])
# Each step writes (True) or deletes an object; the step's place is its revision.
HISTORY = st.lists(st.tuples(NAMES, st.booleans()), min_size=1, max_size=12)


def _item(name, revision):
    return StoredObject(Kind.ENTRY, name, {"at": revision}, {}, revision)


def _state_at(history, revision):
    held = {}
    for at, (name, written) in enumerate(history[:revision], 1):
        if written:
            held[name] = at
        else:
            held.pop(name, None)
    return held


def _follow(history, listed, missed=()):
    """Return a table listed at one revision that then watched, but for a gap."""
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


def _held(table):
    return {name: item.revision for name, item in table.items.items()}


class ObjectTableTest(TestCase):
    @settings(max_examples=150, derandomize=True, deadline=None)
    @given(HISTORY, st.data())
    def test_joining_never_lowers_and_does_not_depend_on_order(self, history, data):
        points = st.integers(0, len(history))
        gap = data.draw(st.sets(st.integers(1, len(history)), max_size=3))
        one = _follow(history, data.draw(points), gap)
        other = _follow(history, data.draw(points))
        before = _held(one)
        first, second = one.delta(other.head, True), other.delta(one.head, True)
        one.merge(second)
        other.merge(first)
        self.assertEqual(one.head, other.head)
        self.assertEqual(_held(one), _held(other))
        for name, revision in _held(one).items():
            self.assertGreaterEqual(revision, before.get(name, 0))

    @settings(max_examples=150, derandomize=True, deadline=None)
    @given(HISTORY, st.data())
    def test_a_gap_is_healed_by_the_next_listing(self, history, data):
        points = st.integers(0, len(history))
        gap = data.draw(st.sets(st.integers(1, len(history)), max_size=3))
        table = _follow(history, data.draw(points), gap)
        final = _state_at(history, len(history))
        items = tuple(_item(name, at) for name, at in final.items())
        table.apply_listing(Listing(items, len(history)))
        self.assertEqual(final, _held(table))

    def test_a_delta_that_hides_a_gap_shows_in_the_digest(self):
        history = [("a", True), ("b", True), ("c", True)]
        whole = _follow(history, 0)
        gapped = _follow(history, 0, {2})
        gapped.merge(whole.delta(gapped.head))
        self.assertNotEqual(whole.head, gapped.head)
        gapped.merge(whole.delta(gapped.head, True))
        self.assertEqual(whole.head, gapped.head)

    def test_an_object_deleted_before_a_listing_does_not_come_back(self):
        """A stale peer still holds what has been deleted long ago."""
        stale = _follow([("a", True)], 1)
        table = _follow([("a", True), ("a", False), ("b", True)], 3)
        table.merge(stale.delta(table.head, True))
        self.assertEqual({"b": 3}, _held(table))
