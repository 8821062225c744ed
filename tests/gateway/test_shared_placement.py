"""Tests of placement by the coordinator of a large data centre."""

import asyncio

import msgspec
from aiohttp import web

from radishshift.decisions.fleet_load import PlacementQuota
from radishshift.decisions.placing import PlacementRequest
from radishshift.gateway.deployment import Rollout, RolloutState, RouteKind
from radishshift.gateway.gossip_messages import GossipMessage
from radishshift.gateway.host_settings import GatewaySettings
from radishshift.gateway.messages import PromptPart
from radishshift.gateway.shared_placement import (
    FAILED_OUTCOME,
    RETRY_S,
    UNREACHABLE_OUTCOME,
    SharedPlacement,
    _Question,
    _Reply,
)
from tests.cases import TestCase, VirtualTestCase
from tests.gateway.worlds import SERVICE, Script, World, route

HOSTS = 10
ENDPOINTS = ("a", "b", "c", "d")
STREAM = route(RouteKind.STREAM)
EVENTS = (b"id: 1\ndata: x\n\n",)


class _Host:
    def __init__(self, name, hosts):
        self.name = name
        self.world = World([STREAM], {name: [Script(events=EVENTS)] for name in "abcd"})
        settings = GatewaySettings(
            name, "", "mbeya", "", "", "", f"{name}:1", "", "", ()
        )
        self.gossip = self.world.gossip(settings)
        self.placement, _ = self.world.place_together(settings, self.gossip)
        self.placement._ask = self._ask
        self.hosts = hosts
        self.silent = False
        self.questions = []

    async def _ask(self, address, question):
        host = self.hosts[address.removesuffix(":1")]
        host.questions.append(question)
        if host.silent:
            await asyncio.Event().wait()
        await asyncio.sleep(0.002)
        received = msgspec.json.decode(msgspec.json.encode(question), type=_Question)
        return _Reply(host.placement.place(received))

    def request(self):
        return PlacementRequest(SERVICE, "mbeya")


class SharedPlacementTest(VirtualTestCase):
    def setUp(self):
        super().setUp()
        self.hosts = {}

    def _fleet(self, count=HOSTS):
        for number in range(count):
            name = f"edge-{number}"
            self.hosts[name] = _Host(name, self.hosts)
        self._gossip()
        self._gossip()
        names = {host.gossip.peers.coordinator(_now()) for host in self.hosts.values()}
        self.assertEqual(1, len(names))
        name = names.pop()
        followers = [host for host in self.hosts.values() if host.name != name]
        return self.hosts.get(name), followers

    def _gossip(self):
        for host in self.hosts.values():
            for other in self.hosts.values():
                if other is not host:
                    message = msgspec.json.encode(other.gossip._build_message(None))
                    host.gossip._receive(
                        msgspec.json.decode(message, type=GossipMessage)
                    )

    async def test_hosts_that_choose_at_once_use_different_endpoints(self):
        """Each of 40 hosts chose the endpoint that all took to be idle."""
        _, followers = self._fleet()
        chosen = [
            await host.placement.suggest(host.request(), (), 0.1)
            for host in followers[:4]
        ]
        self.assertEqual(set(ENDPOINTS), set(chosen))

    async def test_a_small_data_centre_has_no_coordinator(self):
        coordinator, followers = self._fleet(3)
        self.assertIsNone(coordinator)
        suggested = await followers[0].placement.suggest(
            followers[0].request(), (), 0.1
        )
        self.assertEqual("", suggested)

    async def test_a_request_is_sent_to_the_endpoint_that_the_coordinator_names(self):
        coordinator, followers = self._fleet()
        world = followers[0].world
        for name in ("a", "b", "d"):
            coordinator.world.placer.view(coordinator.world.member(name)).in_flight = 9
        self.assertEqual(200, (await world.send_request()).status)
        self.assertEqual(["c"], world.attempted_endpoints())

    async def test_a_host_chooses_for_itself_while_the_coordinator_is_silent(self):
        coordinator, followers = self._fleet()
        coordinator.silent = True
        world = followers[0].world
        caller = await world.send_request()
        self.assertEqual(200, caller.status)
        self.assertLess(caller.ended_at, _now() + 1)
        self.assertEqual(200, (await world.send_request(2)).status)
        self.assertEqual(1, len(coordinator.questions))
        await asyncio.sleep(RETRY_S)
        await world.send_request(3)
        self.assertEqual(2, len(coordinator.questions))

    async def test_an_overloaded_coordinator_leaves_the_choice_to_the_hosts(self):
        coordinator, followers = self._fleet()
        coordinator.placement._quota = PlacementQuota(2.0, 2.0, _now())
        host = followers[0]
        for _ in range(2):
            self.assertTrue(await host.placement.suggest(host.request(), (), 0.1))
        for _ in range(5):
            self.assertEqual("", await host.placement.suggest(host.request(), (), 0.1))
        self.assertEqual(3, len(coordinator.questions))
        await asyncio.sleep(RETRY_S)
        self.assertTrue(await host.placement.suggest(host.request(), (), 0.1))

    async def test_an_endpoint_that_this_host_knows_to_be_leaving_is_not_used(self):
        coordinator, followers = self._fleet()
        world = followers[0].world
        for name in ("a", "b", "d"):
            coordinator.world.placer.view(coordinator.world.member(name)).in_flight = 9
        world.list_members(ENDPOINTS, leaving=("c",))
        self.assertEqual(200, (await world.send_request()).status)
        self.assertNotIn("c", world.attempted_endpoints())

    async def test_failures_of_several_hosts_exclude_an_endpoint_for_all(self):
        """A host that sees one request in 40 took a minute to notice a bad endpoint."""
        _, followers = self._fleet()
        for host in followers[:4]:
            host.placement.record_outcome("b", FAILED_OUTCOME)
            await host.placement.suggest(host.request(), (), 0.1)
        chosen = [
            await host.placement.suggest(host.request(), (), 0.1)
            for host in followers * 3
        ]
        self.assertNotIn("b", chosen)

    async def test_an_endpoint_that_one_host_cannot_reach_is_left_out_for_all(self):
        """Each host of a data centre found out for itself that another was cut off."""
        _, followers = self._fleet()
        followers[0].placement.record_outcome("b", UNREACHABLE_OUTCOME)
        chosen = [
            await host.placement.suggest(host.request(), (), 0.1)
            for host in followers * 2
        ]
        self.assertNotIn("b", chosen)

    async def test_an_endpoint_to_avoid_is_not_named(self):
        _, followers = self._fleet()
        host = followers[0]
        chosen = {
            await host.placement.suggest(host.request(), ("a", "b"), 0.1)
            for _ in range(6)
        }
        self.assertEqual(set(), chosen & {"a", "b"})

    async def test_an_endpoint_that_pauses_for_one_host_is_named_to_others_only(self):
        _, followers = self._fleet()
        host, other = followers[:2]
        view = host.world.host_view
        for name in ("a", "b", "c"):
            pauses = host.world.dispatcher.placement.pauses
            pauses.record(view.members[name].incarnation, 5.0, _now())
        for number in range(4):
            self.assertEqual(200, (await host.world.send_request(number)).status)
            self.assertEqual(200, (await other.world.send_request(number)).status)
        self.assertEqual(["d"] * 4, host.world.attempted_endpoints())
        self.assertNotEqual({"d"}, set(other.world.attempted_endpoints()))

    async def test_unreachable_endpoints_are_probed_by_each_host(self):
        """With advice a host sent no probes, and a request each second to find out."""
        coordinator, followers = self._fleet()
        for name in ("a", "c", "d"):
            coordinator.world.placer.view(coordinator.world.member(name)).in_flight = 90
        world = followers[0].world
        world.endpoints.cut_off = {"b"}
        view = world.placer.view(world.member("b"))
        view.record_unreachable(_now())
        for number in range(8):
            await asyncio.sleep(0.4)
            await world.send_request(number)
        self.assertNotIn("b", world.attempted_endpoints())

    async def test_the_load_of_other_data_centres_counts(self):
        coordinator, followers = self._fleet()
        message = GossipMessage("edge-99", 1, "edge-99:1", "iringa", {})
        message.centre_load = {"a": 30.0, "b": 30.0, "c": 30.0}
        coordinator.gossip._receive(message)
        host = followers[0]
        self.assertEqual("d", await host.placement.suggest(host.request(), (), 0.1))

    async def test_the_attempts_of_all_hosts_at_the_old_version_are_counted(self):
        """A roll-out ended while hosts not heard from had streams at old endpoints."""
        coordinator, followers = self._fleet()
        rollout = Rollout(SERVICE, "v2", 20.0, RolloutState.ORDERED, 1)
        coordinator.world.versions.update_rollouts([rollout], _now())
        self.assertEqual(0, coordinator.gossip.old_in_flight(SERVICE))
        for host in followers:
            await host.placement.suggest(host.request(), (), 0.1)
        self.assertGreaterEqual(
            coordinator.gossip.old_in_flight(SERVICE), len(followers)
        )


def _now():
    return asyncio.get_running_loop().time()


class SharedPlacementHttpTest(TestCase):
    async def test_a_question_is_answered_over_http(self):
        host = _Host("edge-1", {})
        server = web.Server(host.placement.handle, access_log=None)
        listener = await asyncio.get_running_loop().create_server(
            server, "127.0.0.1", 0
        )
        ip, port = listener.sockets[0].getsockname()
        question = _Question("edge-2", SERVICE, tried=["a", "b", "c"])
        try:
            reply = await SharedPlacement._ask(host.placement, f"{ip}:{port}", question)
        finally:
            await host.placement.close()
            listener.close()
        self.assertEqual("d", reply.endpoint)


class PromptPartsTest(VirtualTestCase):
    async def test_a_session_stays_at_the_home_of_the_part_that_it_shares(self):
        """The home followed the session's own part, and the shared one was copied."""
        world = World([route(RouteKind.STREAM)], {name: [Script()] for name in "abc"})
        placement = world.dispatcher.placement
        requests = []
        for session in ("", "s1", "s2"):
            own = PromptPart(f"own of {session}", 300)
            parts = (PromptPart("shared", 5000), own)
            req = world.request(session=session, parts=parts, prompt_tokens=5300)
            requests.append(placement._request(world.path._create_job(req), "small"))
        self.assertEqual(1, len({request.affinity for request in requests}))
        self.assertEqual({5000}, {request.shared_tokens for request in requests})
        self.assertEqual([1, 2, 2], [len(request.parts) for request in requests])
