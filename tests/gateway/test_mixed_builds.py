"""Tests of messages between hosts of different builds."""

import msgspec

from radishshift.gateway.endpoint_permits import PermitQuestion
from radishshift.gateway.host_view import KINDS
from radishshift.gateway.shared_placement import _Question
from radishshift.objects import Kind, in_era
from tests.cases import VirtualTestCase
from tests.gateway.networks import Network, now
from tests.gateway.worlds import route


def _as_received(message, dropped=(), added=()):
    """Return a message with some fields that the other build lacks, or has."""
    fields = msgspec.to_builtins(message)
    for name in dropped:
        fields.pop(name, None)
    fields |= {name: {"later": [1, 2]} for name in added}
    return msgspec.convert(fields, type(message))


class MixedBuildsTest(VirtualTestCase):
    async def test_a_coordinator_places_questions_of_both_builds(self):
        network = Network(1, 9, 1, 3)
        await network.start()
        await network.stop()
        coordinator = network.hosts["edge-0"].gossip.peers.coordinator(now())
        place = network.hosts[coordinator].placement.place
        question = _Question(
            "edge-1",
            "advice",
            affinity="small p",
            shared_tokens=500,
            prefill_ktokens=1.0,
            parts=[("small p", 500)],
            prompt_tokens=1000,
        )
        for changes in (
            {"dropped": ("parts", "prompt_tokens")},
            {"added": ("of_a_later_build",)},
        ):
            received = _as_received(question, **changes)
            self.assertIn(place(received), network.centre_of)

    async def test_a_host_without_evacuations_gets_none_and_ends_none(self):
        network = Network(2, 2, 1, 1)
        new, old = network.hosts.values()
        old.world.host_view.kinds = KINDS
        old.world.host_view.tables.pop(Kind.EVACUATION)
        new.world.evacuate("dc-0")
        heads = old.gossip._build_message(None)
        self.assertNotIn("evacuations", heads.heads)
        message = new.gossip._build_message(heads)
        self.assertNotIn("evacuations", message.tables)
        old.gossip._receive(_as_received(message))
        new.gossip._receive(_as_received(old.gossip._build_message(message)))
        self.assertEqual({"dc-0"}, new.world.host_view.evacuated)

    async def test_a_host_of_an_earlier_build_tells_no_size_of_the_fleet(self):
        network = Network(2, 2, 1, 1)
        new, old = network.hosts.values()
        message = old.gossip._build_message(None)
        new.gossip._receive(_as_received(message, dropped=("most_hosts",)))
        self.assertEqual(1, new.world.dispatcher.fleet_size.largest(now()))

    async def test_a_host_of_an_earlier_build_tells_no_age_and_ignores_it(self):
        network = Network(4, 2, 1, 1)
        new, old = network.hosts.values()
        freshness = new.world.host_view.freshness
        reply = _as_received(old.gossip._build_message(None), dropped=("staleness_s",))
        new.gossip._receive(reply, asked_at=now())
        self.assertIsNone(freshness.staleness_s(now()))

    async def test_a_host_of_a_build_without_eras_reverts_nothing_after_a_restore(self):
        """Its table seems older than what a host that knows of the restore has."""
        network = Network(5, 2, 1, 1)
        new, old = network.hosts.values()
        view = new.world.host_view
        endpoints = set(view.members)
        new.world.configure([route()], version=4)
        new.world.revision = in_era(1, 1)
        new.world.configure([route()], version=4)
        new.world.list_members(list(endpoints))
        for version in (2, 4, 5):  # as the copy has it, written again, and the next
            old.world.configure([route()], version=version)
            old.world.list_members([])
            heads = new.gossip._build_message(None)
            new.gossip._receive(_as_received(old.gossip._build_message(heads)))
            self.assertEqual(4, view.version)
            self.assertEqual(endpoints, set(view.members))
        new.world.configure([route()], version=5)
        new.world.configure([route()], version=6)
        self.assertEqual(6, view.version)

    async def test_messages_of_a_later_build_are_read(self):
        network = Network(3, 2, 1, 1)
        host = network.hosts["edge-0"]
        for message in (
            host.gossip._build_message(None),
            PermitQuestion("0-0", 1, "dc-0", 14.0),
        ):
            self.assertEqual(message, _as_received(message, added=("later",)))
