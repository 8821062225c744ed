"""Tests of a host's view, independent of which source delivers a change first."""

from radishshift.decisions.store_restores import RESTORE_HOLD_S
from radishshift.gateway.deployment import RolloutState
from radishshift.gateway.host_view import LAPSED_RETENTION_S, HostView
from radishshift.object_table import Head
from radishshift.objects import (
    ChangeType,
    Kind,
    Listing,
    ObjectChange,
    StoredObject,
    era_of,
    in_era,
)
from tests.cases import VirtualTestCase
from tests.gateway.worlds import SERVICE, Script, SimpleObjectDecoder, World, route


class HostViewTest(VirtualTestCase):
    def _names(self, world):
        return sorted(member.name for member in world.host_view.members_of(SERVICE))

    async def test_a_deleted_endpoint_gets_no_new_work(self):
        world = World([route()], {"a": [Script()], "b": [Script()]})
        deleted = StoredObject(Kind.ENDPOINT, "a", {}, {}, world.revision + 1)
        world.host_view.apply(Kind.ENDPOINT, ObjectChange(ChangeType.DELETED, deleted))
        self.assertEqual(["b"], self._names(world))

    async def test_endpoints_that_lapsed_in_an_outage_stay_in_use_for_a_while(self):
        world = World([route()], {"a": [Script()], "b": [Script()]})
        now = world.clock.now()
        world.host_view.record_store_recovery(now)
        world.list_members([])
        self.assertEqual(["a", "b"], self._names(world))
        await world.clock.sleep_until(now + LAPSED_RETENTION_S + 0.1)
        self.assertEqual([], self._names(world))

    async def test_a_lapsed_endpoint_is_not_used_past_the_drain_time(self):
        """Guards rule DRAIN against a host that notices the store's recovery late.

        The host treated an endpoint that had left as lapsed and used it for 2.0 s.
        """
        world = World([route()], {"a": [Script()], "b": [Script()]})
        now = world.clock.now()
        world.list_members(["b"])
        world.host_view.record_store_recovery(now)
        await world.clock.sleep_until(now + 1.95)
        self.assertEqual(["b"], self._names(world))

    async def test_a_blocked_part_that_does_not_say_since_when_is_blocked(self):
        world = World([route()], {})
        for revision, spec in ((9, {}), (10, {"blocked_at": "x"}), (11, {})):
            item = StoredObject(Kind.BLOCKED_PART, "p1", spec, {}, revision)
            listing = Listing((item,), revision)
            world.host_view.apply(Kind.BLOCKED_PART, listing)
            blocked = world.host_view.blocked_parts
            self.assertEqual({"p1": world.clock.now()}, blocked)

    async def test_an_order_holds_while_a_later_form_of_it_cannot_be_read(self):
        """A version under roll-out would get requests like any other."""
        world = World([route()], {})
        specs = ((9, {"order": (SERVICE, "v2", 9.0)}), (10, {"order": "odd"}))
        for revision, spec in specs:
            item = StoredObject(Kind.ROLLOUT, SERVICE, spec, {}, revision)
            world.host_view.apply(Kind.ROLLOUT, Listing((item,), revision))
            self.assertEqual("v2", world.host_view.rollouts[SERVICE].target)

    async def test_an_endpoint_that_announced_leaving_is_not_kept(self):
        world = World([route()], {"a": [Script()], "b": [Script()]})
        world.host_view.record_store_recovery(world.clock.now())
        world.list_members(["a", "b"], leaving=["a"])
        self.assertEqual(["b"], self._names(world))

    async def test_an_endpoint_that_said_it_leaves_stays_out_while_it_is_listed(self):
        """The store lists it as live, also again, and after it had lapsed."""
        world = World([route()], {"a": [Script()], "b": [Script()]})
        view = world.host_view
        view.record_store_recovery(world.clock.now())
        world.list_members(["b"])
        self.assertTrue(view.record_leaving(world.member("a")))
        self.assertFalse(view.record_leaving(world.member("a")))
        self.assertEqual(["b"], self._names(world))
        world.list_members(["a", "b"])
        self.assertEqual(["b"], self._names(world))

    async def test_an_endpoint_that_leaves_for_long_is_no_last_resort_again(self):
        """Its departure was forgotten after 30 s and recorded as a new one."""
        world = World([route()], {"a": [Script()], "b": [Script()]})
        now = world.clock.now()
        world.list_members(["a", "b"], leaving=["a"])
        for age_s in (31.0, 62.0):
            await world.clock.sleep_until(now + age_s)
            world.list_members(["a", "b"], leaving=["a"])
            departed = world.host_view.departed_since(SERVICE, now + age_s - 1.0)
            self.assertEqual([], list(departed))

    async def test_an_endpoint_that_lapsed_is_still_known(self):
        """Its limit and its pause were forgotten while it was in use."""
        world = World([route()], {"a": [Script()], "b": [Script()]})
        world.host_view.record_store_recovery(world.clock.now())
        world.list_members(["b"])
        self.assertEqual(["a", "b"], self._names(world))
        self.assertEqual({("a", 1), ("b", 1)}, world.host_view.known_endpoints())

    async def test_an_endpoint_that_started_again_is_used(self):
        world = World([route()], {"a": [Script()], "b": [Script()]})
        world.host_view.record_leaving(world.member("a", born_ms=0))
        world.list_members(["a", "b"])
        self.assertEqual(["a", "b"], self._names(world))

    async def test_a_departure_that_was_stated_long_ago_is_no_last_resort(self):
        world = World([route()], {"a": [Script()]})
        now = world.clock.now()
        world.host_view.record_leaving(world.member("a"))
        await world.clock.sleep_until(now + 1.5)
        world.list_members(["a"])
        self.assertEqual([], list(world.host_view.departed_since(SERVICE, now + 0.5)))

    async def test_without_an_outage_a_delisted_endpoint_is_not_used(self):
        world = World([route()], {"a": [Script()], "b": [Script()]})
        world.list_members(["b"])
        self.assertEqual(["b"], self._names(world))

    async def test_a_new_host_gets_all_objects_from_a_peer(self):
        world = World([route()], {"a": [Script()], "b": [Script()]})
        fresh = HostView(
            SimpleObjectDecoder(), world.clock, kinds=world.host_view.kinds
        )
        for kind, table in world.host_view.tables.items():
            fresh.merge(kind, table.delta(Head(), whole=True), "edge-2")
        self.assertEqual(world.host_view.version, fresh.version)
        self.assertEqual({"a", "b"}, set(fresh.members))

    async def test_a_stale_peer_reverts_nothing(self):
        world = World([route()], {"a": [Script()], "b": [Script()]})
        old = world.host_view.tables[Kind.ENDPOINT].delta(Head(), whole=True)
        world.list_members(["b"])
        world.host_view.merge(Kind.ENDPOINT, old, "edge-2")
        self.assertEqual(["b"], self._names(world))

    async def test_the_status_of_a_roll_out_is_merged_between_hosts(self):
        world = World([route()], {"a": [Script()]})
        item = StoredObject(
            Kind.ROLLOUT,
            SERVICE,
            {"order": (SERVICE, "v2", 20.0)},
            {"state": "completed"},
            9,
        )
        world.host_view.apply(Kind.ROLLOUT, Listing((item,), 9))
        fresh = HostView(
            SimpleObjectDecoder(), world.clock, kinds=world.host_view.kinds
        )
        delta = world.host_view.tables[Kind.ROLLOUT].delta(Head(), whole=True)
        fresh.merge(Kind.ROLLOUT, delta, "edge-2")
        self.assertEqual("completed", fresh.rollouts[SERVICE].state)
        self.assertEqual(item, fresh.stored_rollout(SERVICE))


class RestoresTest(VirtualTestCase):
    """The store comes back from an older copy."""

    def _world(self):
        world = World([route()], {"a": [Script()], "b": [Script()]})
        world.configure([route()], version=4)
        return world

    def _restore(self, world):
        """Let the revisions from now on be those of the next era."""
        world.revision = in_era(era_of(world.revision) + 1, 1)

    def _names(self, world):
        return sorted(member.name for member in world.host_view.members_of(SERVICE))

    async def test_an_older_configuration_is_not_taken_up_nor_told(self):
        world = self._world()
        self._restore(world)
        world.configure([], version=2)
        (item,) = world.host_view.tables[Kind.DEPLOYMENT].items.values()
        self.assertEqual(4, item.spec["deployment"].version)
        self.assertEqual(4, world.host_view.version)
        world.configure([], version=5)
        self.assertEqual(5, world.host_view.version)

    async def test_an_endpoint_that_had_said_that_it_leaves_does_not_come_back(self):
        world = self._world()
        world.list_members(["a", "b"], leaving=["a"])
        await world.clock.sleep_until(world.clock.now() + 1.0)
        self._restore(world)
        for _ in range(3):
            world.list_members(["a", "b"])
            self.assertEqual(["b"], self._names(world))
            await world.clock.sleep_until(world.clock.now() + RESTORE_HOLD_S)
            world.host_view.expire()
        world.list_members(["a", "b"], born_ms=2)
        self.assertEqual(["a", "b"], self._names(world))

    async def test_an_endpoint_that_was_gone_stays_out_for_the_hold(self):
        world = self._world()
        world.list_members(["b"])
        # Sooner it could be one that has lapsed.
        await world.clock.sleep_until(world.clock.now() + 2.0)
        self._restore(world)
        world.list_members(["a", "b"])
        self.assertEqual(["b"], self._names(world))
        await world.clock.sleep_until(world.clock.now() + RESTORE_HOLD_S + 0.1)
        world.host_view.expire()
        self.assertEqual(["a", "b"], self._names(world))

    async def test_an_endpoint_that_the_copy_lacks_is_used_until_it_registers(self):
        world = self._world()
        await world.clock.sleep_until(world.clock.now() + 1.0)
        self._restore(world)
        world.list_members(["b"])
        self.assertEqual(["a", "b"], self._names(world))
        await world.clock.sleep_until(world.clock.now() + 1.0)
        world.list_members(["a", "b"])
        self.assertEqual(["a", "b"], self._names(world))
        self.assertIn("a", world.host_view.members)

    def _list_rollout(self, world, *states):
        world.revision += 1
        items = [
            StoredObject(
                Kind.ROLLOUT,
                SERVICE,
                {"order": (SERVICE, "v2", 9.0)},
                {"state": state.value},
                world.revision,
            )
            for state in states
        ]
        world.host_view.apply(Kind.ROLLOUT, Listing(tuple(items), world.revision))

    async def test_a_roll_out_that_had_ended_is_not_begun_again(self):
        world = self._world()
        self._list_rollout(world, RolloutState.ROLLED_BACK)
        self._restore(world)
        for _ in range(2):
            self._list_rollout(world, RolloutState.RUNNING)
            state = world.host_view.rollouts[SERVICE].state
            self.assertEqual(RolloutState.ROLLED_BACK, state)
            lost = world.host_view.lost_statuses
            self.assertEqual({SERVICE: RolloutState.ROLLED_BACK}, lost)
        self._list_rollout(world, RolloutState.ROLLED_BACK)
        self.assertEqual({}, world.host_view.lost_statuses)

    async def test_orders_and_blocked_parts_hold_until_they_are_written_again(self):
        world = self._world()
        view = world.host_view
        self._list_rollout(world, RolloutState.RUNNING)
        world.evacuate("mbeya")
        part = StoredObject(Kind.BLOCKED_PART, "p1", {"blocked_at": 1.0}, {}, 50)
        view.apply(Kind.BLOCKED_PART, Listing((part,), 50))
        self._restore(world)
        for _ in range(2):
            self._list_rollout(world)
            world.evacuate()
            view.apply(Kind.BLOCKED_PART, Listing((), world.revision))
            held = (set(view.rollouts), view.evacuated, view.blocked_parts)
            self.assertEqual(({SERVICE}, {"mbeya"}, {"p1": 1.0}), held)
            self.assertEqual({"p1": 1.0}, view.lost_parts)
        await world.clock.sleep_until(world.clock.now() + RESTORE_HOLD_S + 0.1)
        view.expire()
        held = (set(view.rollouts), view.evacuated, view.blocked_parts)
        self.assertEqual((set(), set(), {}), held)

    async def test_a_host_that_starts_takes_the_first_era_for_granted(self):
        world = World([], {})
        self._restore(world)
        world.configure([route()])
        self.assertFalse(world.host_view.restores.holds(world.clock.now()))
