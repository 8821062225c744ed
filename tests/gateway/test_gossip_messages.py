"""Property tests: an entry of a message that can't be read costs itself alone."""

import json
from types import SimpleNamespace

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from radishshift.gateway.gossip_messages import GossipMessage
from radishshift.gateway.peer_calls import decode_body
from radishshift.object_table import Head, ObjectTable
from radishshift.objects import Kind, Listing, StoredObject
from tests.cases import TestCase, VirtualTestCase
from tests.gateway.test_gossip import _hosts

COUNT = 4
UNREADABLE = [
    b"nul",
    b"NaN",
    b"1e999",
    b"9" * 400,
    b'"\\ud800"',
    b'"\xff\xfe"',
    b'"x"',
    b"null",
    b"{}",
    b"[]",
    b"[" * 1200 + b"]" * 1200,
]
EVIDENCE = ["v2", 1.0, False, [[True, "look", 5, 0, 1.0]], 0]
DELTA = [[9, 9, 0], True, [["one", 3, {}]], {}, []]
# A sound entry of each list and dict.
ENTRIES = {
    "heads": [9, 9, 77],
    "peers": ["10.0.0.1:1", 0.5],
    "neighbours": "edge-7",
    "links": 10.0,
    "centres": ["edge-1", "10.0.0.1:1", 3, 0.5, 10.0],
    "load": 2.0,
    "centre_load": 2.0,
    "crash_reports": ["desk-1/5", 1.0, [["t1", 1]], []],
    "sound_ages_s": 1.0,
    "held_ages_s": 1.0,
    "alive_ages_s": 1.0,
    "limits": ["desk-1", 5, 1.5, 1.0],
    "departures": ["desk-1", 5, 1.0],
    "reached": 1.0,
    "trials": EVIDENCE,
    "kept_ages_s": 1.0,
    "tables": DELTA,
}


def _message(field="", position=0, bad=b""):
    """Return the JSON of a message with several entries in each list and dict."""
    listed = {"neighbours", "crash_reports", "limits", "departures"}
    members = {"host": b'"edge-2"', "incarnation": b"5", "address": b'"edge-2:1"'}
    members["data_centre"] = b'"mbeya"'
    for name, entry in ENTRIES.items():
        texts = [json.dumps(entry).encode()] * COUNT
        if name == field:
            texts[position] = bad
        if name in listed:
            members[name] = b"[%s]" % b",".join(texts)
        else:
            pairs = (b'"e%d":%s' % (n, text) for n, text in enumerate(texts))
            members[name] = b"{%s}" % b",".join(pairs)
    return b"{%s}" % b",".join(b'"%s":%s' % (n.encode(), members[n]) for n in members)


def _decode(body):
    return decode_body(body, {}, GossipMessage, by_entry=True)


class GossipMessagesTest(TestCase):
    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(
        st.sampled_from(sorted(ENTRIES)),
        st.integers(0, COUNT - 1),
        st.sampled_from(UNREADABLE),
    )
    def test_all_other_entries_hold(self, field, position, bad):
        sound = msgspec.structs.asdict(_decode(_message()))
        message = msgspec.structs.asdict(_decode(_message(field, position, bad)))
        for name, entries in sound.items():
            if name != field:
                self.assertEqual(entries, message[name], name)
            elif isinstance(entries, dict):
                for key in entries.keys() - {f"e{position}"}:
                    self.assertEqual(entries[key], message[name][key])
            else:
                others = [e for e in message[name] if e == entries[0]]
                self.assertGreaterEqual(len(others), COUNT - 1)

    def test_no_entry_of_a_sound_message_is_left_out(self):
        message = msgspec.structs.asdict(_decode(_message()))
        counts = {name: len(message[name]) for name in ENTRIES}
        self.assertEqual(dict.fromkeys(ENTRIES, COUNT), counts)

    def test_a_statement_that_cant_be_read_is_not_replaced_by_its_default(self):
        """The default would say that the sender reaches the store."""
        for member in (b'"store_lost":"\\ud800"', b'"staleness_s":[]', b'"host":7'):
            body = _message()[:-1] + b"," + member + b"}"
            with self.assertRaises(msgspec.DecodeError):
                _decode(body)
        with self.assertRaises(msgspec.DecodeError):
            _decode(b'{"host":"edge-2","heads":{"x":7}}')


class ReceivedEntriesTest(VirtualTestCase):
    async def test_a_host_hears_the_rest_of_a_message(self):
        """One number that JSON has no form for silenced a host towards all others."""
        one, two = _hosts()
        message = two.gossip._build_message(None)
        message.links = {"edge-3": float("inf")}
        message.held_ages_s = {"t1": 1.0}

        async def read():
            return msgspec.json.encode(message)

        request = SimpleNamespace(content_length=9, headers={}, read=read)
        resp = await one.gossip.handle(request)
        self.assertEqual(200, resp.status)
        self.assertIn("edge-2", one.gossip.live_hosts())

    async def test_a_table_is_left_out_with_an_object_that_cant_be_read(self):
        """Merged without it, it would take on the head of a table that has it."""
        sender = ObjectTable(Kind.ENDPOINT)
        sender.apply_listing(Listing([StoredObject("one", 3, {})], 9))
        delta = msgspec.json.encode(sender.delta_for(Head(), None))
        head = msgspec.json.encode(sender.head)
        body = _message()[:-1]
        tables = b'{"servers":%s,"ours":[[9,9,0],true,[["one",3,7]],{}]}' % delta
        message = _decode(
            body + b',"heads":{"servers":%s},"tables":%s}' % (head, tables)
        )
        self.assertEqual(["servers"], list(message.tables))
