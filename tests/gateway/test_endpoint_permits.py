"""Tests of one request budget of an endpoint over fleets of 6 to 195 hosts.

The hosts are complete but for their sockets; they run in virtual time.
"""

import asyncio

from radishshift.gateway.deployment import RouteKind
from radishshift.gateway.endpoint_permits import PermitQuestion
from tests.cases import VirtualTestCase, for_each_fleet
from tests.gateway.networks import EVENTS, STREAM, Network, now
from tests.gateway.worlds import Script, World, route
from tests.limit_rule import MAX_LEARNING_S, most_allowed

LIMIT_PER_S = 1.2
# Hosts, data centres, endpoints of each data centre and requests a second of each host.
FLEETS = ((6, 3, 2, 5.0), (64, 4, 5, 2.0), (195, 5, 12, 1.0))


class EndpointBudgetTest(VirtualTestCase):
    async def _run(self, fleet, duration_s=12.0, seed=1, refused_share=0.0, limited=1):
        hosts, centres, endpoints, rate_per_s = fleet
        network = Network(seed, hosts, centres, endpoints)
        network.refused_share = refused_share
        await network.start()
        names = sorted(network.centre_of)[:limited]
        network.limits = dict.fromkeys(names, LIMIT_PER_S)
        began_at = now()
        await network.load(rate_per_s, duration_s)
        await network.stop()
        return network, names, began_at

    def _assert_kept(self, network, names, since):
        for name in names:
            self.assertLessEqual(
                network.most_arrivals(name, since), most_allowed(LIMIT_PER_S)
            )

    @for_each_fleet(FLEETS)
    async def test_hosts_together_keep_to_the_limit_of_an_endpoint(self, fleet):
        """Each host took the endpoint in need, which got little, for an idle one."""
        network, names, began_at = await self._run(fleet)
        self._assert_kept(network, names, began_at + MAX_LEARNING_S)
        used = [at for at in network.arrivals[names[0]] if at > began_at + 4]
        self.assertTrue(used, fleet)
        self.assertEqual({200}, set(network.statuses))

    @for_each_fleet(FLEETS)
    async def test_retries_keep_to_the_limit_of_an_endpoint(self, fleet):
        network, names, began_at = await self._run(fleet, refused_share=0.4)
        self._assert_kept(network, names, began_at + MAX_LEARNING_S)

    @for_each_fleet(FLEETS[:2])
    async def test_the_budgets_are_used_if_all_endpoints_limit_their_requests(
        self, fleet
    ):
        limited = fleet[1] * fleet[2]
        network, names, began_at = await self._run(fleet, 14.0, limited=limited)
        since = began_at + MAX_LEARNING_S
        self._assert_kept(network, names, since)
        used = sum(at >= since for name in names for at in network.arrivals[name])
        permitted = limited * LIMIT_PER_S * (14.0 - MAX_LEARNING_S)
        self.assertGreater(used, 0.7 * permitted, fleet)
        self.assertEqual({200, 503}, set(network.statuses))

    @for_each_fleet(FLEETS)
    async def test_the_budget_outlives_the_host_that_keeps_it(self, fleet):
        hosts, centres, endpoints, rate_per_s = fleet
        network = Network(2, hosts, centres, endpoints)
        await network.start()
        name = min(network.centre_of)
        network.limits = {name: LIMIT_PER_S}
        began_at = now()
        load = asyncio.create_task(network.load(rate_per_s, 18.0))
        await asyncio.sleep(6.0)
        first = network.hosts["edge-0"].gossip.peers
        keeper = first.keeper(name, network.centre_of[name], now())
        network.kill(keeper)
        died_at = now()
        await load
        await network.stop()
        self._assert_kept(network, [name], began_at + MAX_LEARNING_S)
        late = [at for at in network.arrivals[name] if at > died_at + 6.0]
        self.assertTrue(late, fleet)

    async def test_an_endpoint_whose_limit_has_ended_gets_its_share_again(self):
        fleet = FLEETS[0]
        hosts, centres, endpoints, rate_per_s = fleet
        network = Network(3, hosts, centres, endpoints)
        await network.start()
        name = min(network.centre_of)
        network.limits = {name: 0.0}
        await network.load(rate_per_s, 8.0)
        network.limits = {}
        began_at = now()
        await network.load(rate_per_s, 24.0)
        await network.stop()
        arrivals = [at for at in network.arrivals[name] if at > began_at + 14.0]
        share = hosts * rate_per_s / len(network.centre_of)
        self.assertGreater(len(arrivals) / 10.0, 0.5 * share)


class DepartureTest(VirtualTestCase):
    @for_each_fleet(FLEETS)
    async def test_all_hosts_hear_from_one_that_an_endpoint_leaves(self, fleet):
        """The store still lists the endpoint, in the list of each host."""
        hosts, centres, endpoints, _ = fleet
        network = Network(4, hosts, centres, endpoints)
        await network.start()
        name = min(network.centre_of)
        first = network.hosts["edge-1"].world
        self.assertTrue(first.host_view.record_leaving(first.member(name)))
        await asyncio.sleep(2.0)
        await network.stop()
        using = [
            host.name
            for host in network.hosts.values()
            if name in host.world.host_view.members
        ]
        self.assertEqual([], using, hosts)


class PermitsTest(VirtualTestCase):
    async def test_a_host_that_does_not_keep_a_budget_permits_nothing(self):
        network = Network(1, 6, 3, 1)
        await network.start()
        await network.stop()
        keeper = network.hosts["edge-0"].gossip.peers.keeper("0-0", "dc-0", now())
        question = PermitQuestion("0-0", 1, "dc-0", LIMIT_PER_S)
        for host in network.hosts.values():
            host.permits.grant(question)
        await asyncio.sleep(1.0)
        permitting = [
            host.name
            for host in network.hosts.values()
            if not host.permits.grant(question)
        ]
        self.assertEqual([keeper], permitting)

    async def test_a_silent_keeper_is_asked_once_a_second(self):
        network = Network(1, 6, 3, 2)
        await network.start()
        await network.stop()
        host = network.hosts["edge-1"]
        keeper = host.gossip.peers.keeper("0-0", "dc-0", now())
        self.assertNotEqual(host.name, keeper)
        network.dead.add(keeper)
        asked = []
        ask = host.permits._ask

        async def count(address, question):
            asked.append(question.endpoint)
            return await ask(address, question)

        host.permits._ask = count
        for endpoint in ("0-0", "0-1"):
            member = host.world.member(endpoint)
            host.world.limits.record(member.incarnation, LIMIT_PER_S, now())
            for number in range(5):
                job = host.world.job(number)
                self.assertFalse(await host.permits.acquire(member, job))
                await asyncio.sleep(0.05)
        self.assertEqual(1, len(asked))

    async def test_a_small_answer_is_kept_where_all_endpoints_limit_their_requests(
        self,
    ):
        """It was dropped for the large model's, for which there was no permit."""
        network = Network(1, 1, 1, 2)
        host = network.hosts["edge-0"]
        world = host.world
        world.configure([route(RouteKind.STREAM, models=("small", "large"))], 2)
        for name in network.centre_of:
            unsure = Script(events=EVENTS, confidence=1.0)
            world.endpoints.scripts[name] = [unsure]
            network.limits[name] = LIMIT_PER_S
            world.limits.record(world.member(name).incarnation, LIMIT_PER_S, now())
        host.permits.can_grant(world.member("0-0"))
        await asyncio.sleep(1.0)
        caller = await world.send_request(model="*")
        self.assertEqual(200, caller.status)
        models = [order.model for order in world.endpoints.attempts]
        self.assertEqual(["small"], models)

    async def test_a_pinned_session_is_refused_rather_than_run_on_another_version(self):
        """The endpoints of its version limit their requests."""
        world = World([STREAM], {"a": [Script(events=EVENTS)]}, versions={"b": "v2"})
        world.list_members(["a", "b"])
        network = Network(1, 1, 1, 1)
        permits = network.hosts["edge-0"].permits
        permits._limits = world.limits
        world.dispatcher.placement.permits = permits
        member = world.member("a")
        world.limits.record(member.incarnation, LIMIT_PER_S, now())
        permits._retry_at[member.incarnation] = now() + 0.7
        world.path._choose_version = lambda *_: "v1"
        caller = await world.send_request()
        self.assertEqual(503, caller.status)
        self.assertGreaterEqual(float(dict(caller.headers)["Retry-After"]), 0.6)
        self.assertEqual([], world.attempted_endpoints())

    async def test_a_permit_that_a_paused_host_receives_late_is_not_used(self):
        """The host was paused between its question and the attempt."""
        network = Network(1, 6, 3, 2)
        await network.start()
        await network.stop()
        host = network.hosts["edge-1"]
        member = host.world.member("0-0")
        host.world.limits.record(member.incarnation, LIMIT_PER_S, now())
        for pause_s, permitted in ((0.01, True), (5.0, False)):

            async def reply_late(question, pause_s=pause_s):
                await asyncio.sleep(pause_s)
                return 0.0

            host.permits._ask_keeper = reply_late
            self.assertIs(
                permitted, await host.permits.acquire(member, host.world.job())
            )

    async def _brittle_fleet(self):
        """Return the hosts, and an endpoint that runs six requests at a time."""
        network = Network(1, 6, 3, 2)
        await network.start()
        await network.stop()
        hosts = list(network.hosts.values())
        member = hosts[0].world.member("0-0")
        for host in hosts:
            host.world.limits.record(member.incarnation, None, now(), 100)
            await host.permits.acquire(member, host.world.job())
        await asyncio.sleep(2.0)  # a keeper permits nothing at first
        return hosts, member

    async def test_requests_with_one_id_count_one_by_one_at_a_brittle_endpoint(self):
        """Callers choose the ids; all requests with one id counted as one."""
        hosts, member = await self._brittle_fleet()
        permitted = [
            await host.permits.acquire(member, host.world.job())
            for host in (*hosts, *hosts)
        ]
        self.assertEqual(member.slots, sum(permitted))

    async def test_the_end_of_an_attempt_frees_no_other_with_its_id(self):
        """A relayed request is counted anew by the host that relays it."""
        hosts, member = await self._brittle_fleet()
        jobs = [host.world.job() for host in hosts]
        for host, job in zip(hosts, jobs, strict=True):
            self.assertTrue(await host.permits.acquire(member, job))
        for _ in range(2):
            hosts[0].permits.attempt_ended(member, jobs[0].attempt_id, False)
            await asyncio.sleep(0.2)
        permitted = [
            await hosts[1].permits.acquire(member, hosts[1].world.job(number))
            for number in (2, 3)
        ]
        self.assertEqual([True, False], permitted)
