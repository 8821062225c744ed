"""Property tests: an entry that can't be read costs itself alone."""

import asyncio
import json

from hypothesis import given, settings
from hypothesis import strategies as st
from users_platform.object_decoder import PlatformObjectDecoder
from users_platform.standins import server_entry
from users_platform.store import StorePlatform, _Reply

from radishshift.clocks import SystemClock
from radishshift.errors import RadishshiftError
from radishshift.gateway.host_view import HostView
from radishshift.json_entries import decode_entry, document_members, entries_of
from radishshift.objects import ChangeType, Kind
from tests.cases import TestCase

COUNT = 5
UNREADABLE = [
    rb'"\ud800"',
    rb'"a\udfffb"',
    rb'"\x"',
    b'"\x01"',
    b'"\xff\xfe"',
    b"1e999",
    b"-1e400",
    b"9" * 400,
    b"NaN",
    b"nul",
    b"[" * 1200 + b"]" * 1200,
    b'{"a":' * 70 + b"1" + b"}" * 70,
    b'"' + b"x" * (1 << 20) + b'"',
]
ODD = [b"null", b"7", b"[]", b"{}", b'""', b"true", b"1.5", b'"]},{"', b'"\\"]"']
PLACES = ["name", "revision", "metadata", "spec", "status", "service", "born", "more"]
FAULTS = st.tuples(st.sampled_from(PLACES), st.sampled_from(UNREADABLE + ODD))


def _entry(number, place="", value=b""):
    spec = server_entry("desk", f"10.0.0.{number}:80", born=1000)
    parts = {
        "name": json.dumps(f"s{number}").encode(),
        "revision": b"%d" % (10 + number),
        "status": b"{}",
    } | {key: json.dumps(field).encode() for key, field in spec.items()}
    parts[place] = value
    fields = b",".join(
        json.dumps(key).encode() + b":" + parts[key]
        for key in parts
        if key in spec or key == place == "more"
    )
    metadata = b'{"name":%s,"revision":%s}' % (parts["name"], parts["revision"])
    metadata = parts.get("metadata", metadata)
    spec_text = parts.get("spec", b"{%s}" % fields)
    return b'{"metadata":%s,"spec":%s,"status":%s}' % (
        metadata,
        spec_text,
        parts["status"],
    )


class _ScriptedStore(StorePlatform):
    def __init__(self, reply):
        self.reply = reply
        super().__init__("127.0.0.1:1")

    async def _call(self, *args, **kwargs):
        return _Reply(self.reply, 0)


async def _with_store(reply, act):
    store = _ScriptedStore(reply)
    try:
        return await act(store)
    finally:
        await store.close()


class UnreadableEntriesTest(TestCase):
    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(FAULTS, st.integers(0, COUNT - 1))
    def test_a_listing_names_all_other_endpoints(self, fault, position):
        """After all hosts were killed none was served, for one text of an entry."""
        entries = [_entry(number) for number in range(COUNT)]
        entries[position] = _entry(position, *fault)
        page = b'{"entries":[%s],"more":false,"asOf":99}' % b",".join(entries)
        listing = asyncio.run(_with_store(page, lambda s: s.list_all(Kind.ENDPOINT)))
        view = HostView(PlatformObjectDecoder(), SystemClock())
        view.apply(Kind.ENDPOINT, listing)
        others = {f"s{number}" for number in range(COUNT) if number != position}
        self.assertLessEqual(others, view.members.keys())
        self.assertLessEqual(len(view.members), COUNT)
        self.assertEqual(99, view.tables[Kind.ENDPOINT].head.complete)

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(FAULTS, st.integers(0, COUNT - 1))
    def test_the_other_events_take_effect(self, fault, position):
        events = [b'{"object":%s,"removed":false}' % _entry(n) for n in range(COUNT)]
        bad = _entry(position, *fault)
        events[position] = b'{"object":%s,"removed":false}' % bad
        reply = b'{"events":[%s],"asOf":99}' % b",".join(events)
        changes = asyncio.run(
            _with_store(reply, lambda s: s.changes_since(Kind.ENDPOINT, 9))
        )
        names = {change.item.name for change in changes[:-1]}
        others = {f"s{number}" for number in range(COUNT) if number != position}
        self.assertLessEqual(others, names)
        self.assertEqual(ChangeType.BOOKMARK, changes[-1].type)

    def test_an_unreadable_form_takes_the_place_of_a_readable_one(self):
        """The bookmark after it says that the table holds it."""
        view = HostView(PlatformObjectDecoder(), SystemClock())
        for place, value in (("", b""), ("version", rb'"\ud800"')):
            event = b'{"object":%s,"removed":false}' % _entry(1, place, value)
            event = event.replace(b'"revision":11', b'"revision":%d' % len(event))
            reply = b'{"events":[%s],"asOf":9999}' % event
            changes = asyncio.run(
                _with_store(reply, lambda s: s.changes_since(Kind.ENDPOINT, 9))
            )
            for change in changes:
                view.apply(Kind.ENDPOINT, change)
        self.assertEqual({}, view.members)
        self.assertIn("s1", view.departed)

    def test_a_reply_that_is_cut_off_is_no_reply(self):
        page = b'{"entries":[%s],"more":false,"asOf":99}' % _entry(1)
        for length in range(len(page)):
            with self.assertRaises(RadishshiftError):
                reply = page[:length]
                asyncio.run(_with_store(reply, lambda s: s.list_all(Kind.ENDPOINT)))


class DocumentsTest(TestCase):
    def test_documents_are_cut_at_their_own_brackets_and_commas(self):
        odd = rb'{"a":"\ud800,]}","b":[1,{"c":",\"]"}],"\ud800":1,"d":"x:y"}'
        members = document_members(odd)
        self.assertEqual(["a", "b", "d"], list(members))
        self.assertEqual(
            ["1", '{"c":",\\"]"}'], [e.decode() for e in entries_of(members["b"])]
        )
        self.assertEqual("x:y", decode_entry(members["d"], str, 99))
        self.assertEqual([], entries_of(b" [ ] "))
