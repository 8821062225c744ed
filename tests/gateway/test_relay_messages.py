"""Tests of the messages by which attempts are relayed."""

import msgspec

from radishshift.gateway.attempts import Attempt
from radishshift.gateway.deployment import Member, RouteKind
from radishshift.gateway.relay_messages import (
    RelayHead,
    RelayOrder,
    decode_message,
    encode_message,
    relay_order,
)
from tests.cases import VirtualTestCase
from tests.gateway.worlds import World, route

NAMES = ("a", "b")


class RelayOrderTest(VirtualTestCase):
    async def _relayed(self, route_regions=None, **changes):
        """Return a job and the one that a peer makes of its order."""
        stream = route(RouteKind.STREAM, regions=route_regions)
        world = World([stream], dict.fromkeys(NAMES))
        job = world.path._create_job(world.request(**changes))
        job.used_endpoints = ["a", "via edge-2"]
        job.failed_endpoints = ["a"]
        member = Member("via edge-2", "", "10.0.0.2:1", "mbeya", "", 0)
        attempt = Attempt(job, member, None, "large", world.clock.now())
        order = relay_order("edge-1", attempt, "7", True, world.clock.now())
        sent = decode_message(encode_message(order), RelayOrder)
        return job, sent, sent.job(world.clock.now())

    async def test_the_peer_has_the_request_as_the_caller_sent_it(self):
        headers = (("X-Note", "caf\udce9"), ("Accept", "*/*"))
        job, order, relayed = await self._relayed(headers=headers, body=b"\x00\xff")
        self.assertEqual(headers, relayed.req.headers)
        self.assertEqual(b"\x00\xff", relayed.req.body)
        self.assertEqual(job.req.target, relayed.req.target)
        self.assertEqual("ring", relayed.customer.name)
        self.assertEqual("", relayed.req.key)
        self.assertEqual(("large", "7"), (order.model, order.last_event_id))

    async def test_the_peer_restricts_the_regions_as_the_sender_does(self):
        """Peers of the last release state and expect an empty list for all regions."""
        for regions, sent in ((None, ()), (("north", "south"), ("north", "south"))):
            job, order, relayed = await self._relayed(route_regions=regions)
            self.assertEqual(sent, order.route.regions)
            self.assertEqual(job.regions, relayed.regions)

    async def test_the_peer_itself_is_none_of_the_endpoints_in_use(self):
        job, _, relayed = await self._relayed()
        self.assertEqual(["a"], relayed.used_endpoints)
        self.assertEqual(job.endpoints_left + 1, relayed.endpoints_left)

    async def test_the_peer_must_answer_before_the_deadline(self):
        job, _, relayed = await self._relayed()
        self.assertLess(relayed.deadline, job.deadline)

    async def test_messages_that_are_none_are_told_apart(self):
        for data in (b"", b"{", b"[]", b"{}", b"\xff"):
            with self.assertRaises(msgspec.DecodeError):
                decode_message(data, RelayOrder)
        self.assertIsNone(decode_message(b"{}", RelayHead).member("advice"))
