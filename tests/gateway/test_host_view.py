"""Tests of what a host believes, whichever source tells of it first."""

from radishshift.gateway.host_view import LAPSED_RETENTION_S, HostView
from radishshift.object_table import Head
from radishshift.objects import ChangeType, Kind, Listing, ObjectChange, StoredObject
from tests.cases import VirtualTestCase
from tests.gateway.worlds import SERVICE, Script, SimpleDocuments, World, route


class HostViewTest(VirtualTestCase):
    def _names(self, world):
        return sorted(held.name for held in world.host_view.members_of(SERVICE))

    async def test_a_removal_ends_an_endpoint_for_new_work(self):
        world = World([route()], {"a": [Script()], "b": [Script()]})
        gone = StoredObject(Kind.ENDPOINT, "a", {}, {}, world.revision + 1)
        world.host_view.apply(Kind.ENDPOINT, ObjectChange(ChangeType.DELETED, gone))
        self.assertEqual(["b"], self._names(world))

    async def test_what_lapsed_while_the_store_was_away_is_kept_a_while(self):
        world = World([route()], {"a": [Script()], "b": [Script()]})
        now = world.clock.now()
        world.host_view.record_store_regained(now)
        world.list_members([])
        self.assertEqual(["a", "b"], self._names(world))
        await world.clock.sleep_until(now + LAPSED_RETENTION_S + 0.1)
        self.assertEqual([], self._names(world))

    async def test_what_went_is_not_used_past_the_time_of_one_that_leaves(self):
        """A host that learnt late of the store's return broke DRAIN.

        It took an endpoint that had left for a lapsed one, and used it for 2.0 s.
        """
        world = World([route()], {"a": [Script()], "b": [Script()]})
        now = world.clock.now()
        world.list_members(["b"])
        world.host_view.record_store_regained(now)
        await world.clock.sleep_until(now + 1.95)
        self.assertEqual(["b"], self._names(world))

    async def test_an_endpoint_that_said_it_leaves_is_not_kept(self):
        world = World([route()], {"a": [Script()], "b": [Script()]})
        world.host_view.record_store_regained(world.clock.now())
        world.list_members(["a", "b"], leaving=["a"])
        self.assertEqual(["b"], self._names(world))

    async def test_without_an_outage_what_is_gone_is_not_used(self):
        world = World([route()], {"a": [Script()], "b": [Script()]})
        world.list_members(["b"])
        self.assertEqual(["b"], self._names(world))

    async def test_a_host_without_memory_takes_all_from_a_peer(self):
        world = World([route()], {"a": [Script()], "b": [Script()]})
        fresh = HostView(SimpleDocuments(), world.clock)
        for kind, table in world.host_view.tables.items():
            fresh.merge(kind, table.delta(Head(), whole=True), "edge-2")
        self.assertEqual(world.host_view.version, fresh.version)
        self.assertEqual({"a", "b"}, set(fresh.members))

    async def test_a_peer_that_is_behind_takes_nothing_back(self):
        world = World([route()], {"a": [Script()], "b": [Script()]})
        old = world.host_view.tables[Kind.ENDPOINT].delta(Head(), whole=True)
        world.list_members(["b"])
        world.host_view.merge(Kind.ENDPOINT, old, "edge-2")
        self.assertEqual(["b"], self._names(world))

    async def test_a_roll_out_s_progress_is_carried_between_hosts(self):
        world = World([route()], {"a": [Script()]})
        item = StoredObject(
            Kind.ROLLOUT,
            SERVICE,
            {"order": (SERVICE, "v2", 20.0)},
            {"state": "completed"},
            9,
        )
        world.host_view.apply(Kind.ROLLOUT, Listing((item,), 9))
        fresh = HostView(SimpleDocuments(), world.clock)
        delta = world.host_view.tables[Kind.ROLLOUT].delta(Head(), whole=True)
        fresh.merge(Kind.ROLLOUT, delta, "edge-2")
        self.assertEqual("completed", fresh.rollouts[SERVICE].state)
        self.assertEqual(item, fresh.stored_rollout(SERVICE))
