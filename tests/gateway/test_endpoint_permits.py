"""Tests of one request budget of an endpoint over fleets of 6 to 195 hosts.

The hosts are complete but for their sockets; they run in virtual time.
"""

import asyncio
import random

import msgspec

from radishshift.errors import EndpointRefusedError
from radishshift.gateway.deployment import RouteKind
from radishshift.gateway.endpoint_permits import (
    PermitQuestion,
    PermitReply,
)
from radishshift.gateway.gossip_messages import GossipMessage
from radishshift.gateway.host_settings import GatewaySettings
from radishshift.gateway.shared_placement import _Question, _Reply
from tests.cases import VirtualTestCase
from tests.gateway.worlds import Script, World, route
from tests.limit_rule import MAX_LEARNING_S, most_allowed, most_in_window

STREAM = route(RouteKind.STREAM)
EVENTS = tuple(f"id: {number}\ndata: x\n\n".encode() for number in range(1, 6))
LIMIT_PER_S = 1.2
# Hosts, data centres, endpoints of each data centre and requests a second of each host.
FLEETS = ((6, 3, 2, 5.0), (64, 4, 5, 2.0), (195, 5, 12, 1.0))
SETTLE_S = 4.0  # until all hosts know of each other
LOCAL_S, REMOTE_S = 0.0004, 0.006  # round trips


class _Network:
    """Hosts and endpoints, with the arrivals at each endpoint."""

    def __init__(self, seed, hosts, centres, endpoints_per_centre):
        self.rng = random.Random(seed)
        self.arrivals = {}
        self.limits = {}
        self.refused_share = 0.0
        self.statuses = []
        self.dead = set()
        self.centre_of = {
            f"{centre}-{number}": f"dc-{centre}"
            for centre in range(centres)
            for number in range(endpoints_per_centre)
        }
        self.hosts = {
            f"edge-{number}": _Host(self, f"edge-{number}", f"dc-{number % centres}")
            for number in range(hosts)
        }
        self._tasks = {}

    async def start(self):
        """Let the hosts gossip until they know each other."""
        for name, host in self.hosts.items():
            self._tasks[name] = asyncio.create_task(host.gossip.run())
        await asyncio.sleep(SETTLE_S)

    async def load(self, rate_per_s, duration_s):
        """Send requests to all hosts at random instants, and await their answers."""
        loads = [host.load(rate_per_s, duration_s) for host in self.hosts.values()]
        await asyncio.gather(*loads)

    async def stop(self):
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    def kill(self, name):
        """End a host; it answers no more and sends nothing."""
        self.dead.add(name)
        self._tasks[name].cancel()

    async def reach(self, address, data_centre):
        """Wait for a round trip to a peer; return it if it is alive."""
        host = self.hosts[address.removesuffix(":1")]
        await asyncio.sleep(LOCAL_S if host.data_centre == data_centre else REMOTE_S)
        if host.name in self.dead:
            raise ConnectionRefusedError
        return host

    def most_arrivals(self, endpoint, since):
        """Return the most requests in a window of the rule, from an instant on."""
        return most_in_window([at for at in self.arrivals[endpoint] if at >= since])


class _Host:
    def __init__(self, network, name, data_centre):
        self.network = network
        self.name = name
        self.data_centre = data_centre
        self.world = world = World(
            [STREAM],
            {endpoint: [Script(events=EVENTS)] for endpoint in network.centre_of},
            data_centre=data_centre,
            data_centres=network.centre_of,
        )
        seeds = tuple(f"edge-{number}:1" for number in range(3))
        settings = GatewaySettings(
            name, "", data_centre, "", "", "", f"{name}:1", "", "", seeds
        )
        self.gossip = world.gossip(settings)
        self.gossip._send = self._gossip_to
        self.placement, self.permits = world.place_together(settings, self.gossip)
        self.permits._ask = self._ask_permit
        self.placement._ask = self._ask_placement
        world.dispatcher.set_host_count(1)
        self._send_to_endpoint = world.endpoints.send
        world.endpoints.send = self._send
        self._announcing = set()

    async def load(self, rate_per_s, duration_s):
        """Send requests of different callers; requests of a dead host fail."""
        rng = self.network.rng
        ends_at = _now() + duration_s
        tasks = []
        while self.name not in self.network.dead:
            await asyncio.sleep(rng.expovariate(rate_per_s))
            if _now() >= ends_at:
                break
            number = f"{self.name}-{len(tasks)}"
            tasks.append(asyncio.create_task(self._request(number)))
        await asyncio.gather(*tasks)

    async def _request(self, number):
        caller = await self.world.send_request(number, body=number.encode())
        self.network.statuses.append(caller.status)

    async def _send(self, order):
        network = self.network
        endpoint = order.member.name
        network.arrivals.setdefault(endpoint, []).append(_now())
        refused = network.rng.random() < network.refused_share
        if refused and endpoint not in network.limits:
            await asyncio.sleep(0.005)
            raise EndpointRefusedError("full")
        answer = await self._send_to_endpoint(order)
        self._record_limit(order.member, network.limits.get(endpoint))
        return answer

    def _record_limit(self, member, per_s):
        if self.world.limits.record(member.incarnation, per_s, _now()):
            task = asyncio.create_task(self.gossip.announce_change())
            self._announcing.add(task)
            task.add_done_callback(self._announcing.discard)

    async def _gossip_to(self, address, message):
        peer = await self.network.reach(address, self.data_centre)
        reply = peer.gossip._reply(_wire(message, GossipMessage))
        return _wire(reply, GossipMessage)

    async def _ask_permit(self, address, question):
        peer = await self.network.reach(address, self.data_centre)
        retry_s = peer.permits.grant(_wire(question, PermitQuestion))
        return PermitReply(retry_s)

    async def _ask_placement(self, address, question):
        peer = await self.network.reach(address, self.data_centre)
        return _Reply(peer.placement.place(_wire(question, _Question)))


def _wire(message, kind):
    return msgspec.json.decode(msgspec.json.encode(message), type=kind)


def _now():
    return asyncio.get_running_loop().time()


class EndpointBudgetTest(VirtualTestCase):
    async def _run(self, fleet, duration_s=12.0, seed=1, refused_share=0.0, limited=1):
        hosts, centres, endpoints, rate_per_s = fleet
        network = _Network(seed, hosts, centres, endpoints)
        network.refused_share = refused_share
        await network.start()
        names = sorted(network.centre_of)[:limited]
        network.limits = dict.fromkeys(names, LIMIT_PER_S)
        began_at = _now()
        await network.load(rate_per_s, duration_s)
        await network.stop()
        return network, names, began_at

    def _assert_kept(self, network, names, since):
        for name in names:
            self.assertLessEqual(
                network.most_arrivals(name, since), most_allowed(LIMIT_PER_S)
            )

    async def test_hosts_together_keep_to_the_limit_of_an_endpoint(self):
        """Each host took the endpoint in need, which got little, for an idle one."""
        for fleet in FLEETS:
            network, names, began_at = await self._run(fleet)
            self._assert_kept(network, names, began_at + MAX_LEARNING_S)
            used = [at for at in network.arrivals[names[0]] if at > began_at + 4]
            self.assertTrue(used, fleet)
            self.assertEqual({200}, set(network.statuses))

    async def test_retries_keep_to_the_limit_of_an_endpoint(self):
        for fleet in FLEETS:
            network, names, began_at = await self._run(fleet, refused_share=0.4)
            self._assert_kept(network, names, began_at + MAX_LEARNING_S)

    async def test_the_budgets_are_used_if_all_endpoints_limit_their_requests(self):
        for fleet in FLEETS[:2]:
            limited = fleet[1] * fleet[2]
            network, names, began_at = await self._run(fleet, 14.0, limited=limited)
            since = began_at + MAX_LEARNING_S
            self._assert_kept(network, names, since)
            used = sum(at >= since for name in names for at in network.arrivals[name])
            permitted = limited * LIMIT_PER_S * (14.0 - MAX_LEARNING_S)
            self.assertGreater(used, 0.7 * permitted, fleet)
            self.assertEqual({200, 503}, set(network.statuses))

    async def test_the_budget_outlives_the_host_that_keeps_it(self):
        for fleet in FLEETS:
            hosts, centres, endpoints, rate_per_s = fleet
            network = _Network(2, hosts, centres, endpoints)
            await network.start()
            name = min(network.centre_of)
            network.limits = {name: LIMIT_PER_S}
            began_at = _now()
            load = asyncio.create_task(network.load(rate_per_s, 18.0))
            await asyncio.sleep(6.0)
            first = network.hosts["edge-0"].gossip.peers
            keeper = first.keeper(name, network.centre_of[name], _now())
            network.kill(keeper)
            died_at = _now()
            await load
            await network.stop()
            self._assert_kept(network, [name], began_at + MAX_LEARNING_S)
            late = [at for at in network.arrivals[name] if at > died_at + 6.0]
            self.assertTrue(late, fleet)

    async def test_an_endpoint_whose_limit_has_ended_gets_its_share_again(self):
        fleet = FLEETS[0]
        hosts, centres, endpoints, rate_per_s = fleet
        network = _Network(3, hosts, centres, endpoints)
        await network.start()
        name = min(network.centre_of)
        network.limits = {name: 0.0}
        await network.load(rate_per_s, 8.0)
        network.limits = {}
        began_at = _now()
        await network.load(rate_per_s, 24.0)
        await network.stop()
        arrivals = [at for at in network.arrivals[name] if at > began_at + 14.0]
        share = hosts * rate_per_s / len(network.centre_of)
        self.assertGreater(len(arrivals) / 10.0, 0.5 * share)


class DepartureTest(VirtualTestCase):
    async def test_all_hosts_hear_from_one_that_an_endpoint_leaves(self):
        """The store still lists the endpoint, in the list of each host."""
        for hosts, centres, endpoints, _ in FLEETS:
            network = _Network(4, hosts, centres, endpoints)
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
        network = _Network(1, 6, 3, 1)
        await network.start()
        await network.stop()
        keeper = network.hosts["edge-0"].gossip.peers.keeper("0-0", "dc-0", _now())
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
        network = _Network(1, 6, 3, 2)
        await network.start()
        await network.stop()
        host = network.hosts["edge-1"]
        keeper = host.gossip.peers.keeper("0-0", "dc-0", _now())
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
            host.world.limits.record(member.incarnation, LIMIT_PER_S, _now())
            for _ in range(5):
                self.assertFalse(await host.permits.acquire(member))
                await asyncio.sleep(0.05)
        self.assertEqual(1, len(asked))

    async def test_a_small_answer_is_kept_where_all_endpoints_limit_their_requests(
        self,
    ):
        """It was dropped for the large model's, for which there was no permit."""
        network = _Network(1, 1, 1, 2)
        host = network.hosts["edge-0"]
        world = host.world
        world.configure([route(RouteKind.STREAM, models=("small", "large"))], 2)
        for name in network.centre_of:
            unsure = Script(events=EVENTS, confidence=1.0)
            world.endpoints.scripts[name] = [unsure]
            network.limits[name] = LIMIT_PER_S
            world.limits.record(world.member(name).incarnation, LIMIT_PER_S, _now())
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
        network = _Network(1, 1, 1, 1)
        permits = network.hosts["edge-0"].permits
        permits._limits = world.limits
        world.dispatcher.placement.permits = permits
        member = world.member("a")
        world.limits.record(member.incarnation, LIMIT_PER_S, _now())
        permits._retry_at[member.incarnation] = _now() + 0.7
        world.path._choose_version = lambda *_: "v1"
        caller = await world.send_request()
        self.assertEqual(503, caller.status)
        self.assertGreaterEqual(float(dict(caller.headers)["Retry-After"]), 0.6)
        self.assertEqual([], world.attempted_endpoints())
