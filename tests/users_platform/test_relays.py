"""End-to-end tests of attempts that peers relay, over loopback."""

import asyncio
import random
from contextlib import asynccontextmanager
from unittest.mock import patch

import aiohttp

from radishshift.decisions.retry_budget import HostRetryBudget
from radishshift.gateway.relay_server import _Relay
from radishshift.gateway.service_monitor import PROBE_LOST_INTERVAL_S
from radishshift.open_connections import open_transports
from tests.cases import TestCase
from tests.users_platform.cut_links import Cut
from tests.users_platform.fleets import (
    DESK,
    HOST_HEADER,
    KEY,
    SERVICE,
    running_fleet,
    send_plans,
)

HOST_COUNT = 4
# Probes of all endpoints in turn, and those that follow the first that succeeds.
REGAINED_S = 5 * PROBE_LOST_INTERVAL_S


def headers(path="plan", number=0):
    values = {
        "Host": HOST_HEADER,
        "X-Key": KEY,
        "X-Attempt-Id": f"{path}-{number}",
        "X-Deadline-Ms": "4000",
    }
    return values | ({"X-Token-Usage": "350,50"} if path == "plan" else {})


def post(session, host, path="plan", number=0):
    url = f"http://{host.settings.caller_address}/{path}/{number}"
    return session.post(url, headers=headers(path, number), data=b"body")


def lost(host, service=SERVICE):
    return host.dispatcher.services.tracker.lost(service)


async def until(condition, timeout_s=10.0):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


@asynccontextmanager
async def fleet_with_cut_host(cut=Cut.REFUSED, cut_services=None):
    """Run a fleet whose first host has lost the way to endpoints, and knows it."""
    async with running_fleet(HOST_COUNT, (SERVICE, DESK)) as (fleet, session):
        for host in fleet.hosts:
            for path in ("plan", "book"):
                async with post(session, host, path) as resp:
                    await resp.read()
        cut_off = fleet.hosts[0]
        cut_off.endpoint_client.cut_services = cut_services
        cut_off.endpoint_client.cut = cut
        for service, path in ((SERVICE, "plan"), (DESK, "book")):
            if cut_services is None or service in cut_services:
                async with post(session, cut_off, path, 1) as resp:
                    await resp.read()
                await until(lambda service=service: lost(cut_off, service))
        await asyncio.sleep(1.0)  # the peers have told what they reach
        yield fleet, session, cut_off


def arrivals(fleet, request_id):
    """Return the endpoints at which attempts of a request arrived."""
    return [
        arrival.endpoint
        for endpoint in fleet.platform.endpoints.values()
        for arrival in endpoint.arrivals
        if arrival.request_id == request_id
    ]


def break_off_peers(host):
    """Reset the connections that a host has accepted from its peers."""
    for transport in open_transports(host._peer_server):
        transport.abort()


class RelaysTest(TestCase):
    async def test_a_long_request_is_relayed(self):
        async with fleet_with_cut_host() as (fleet, session, host):
            body = bytes(range(256)) * 12_000
            url = f"http://{host.settings.caller_address}/book/2"
            async with session.post(url, headers=headers("book", 2), data=body) as resp:
                self.assertEqual(200, resp.status)
            received = [
                received
                for endpoint in fleet.platform.endpoints.values()
                for path, _, received in endpoint.ran
                if path == "/book/2"
            ]
            self.assertEqual([body], received)

    async def test_a_service_is_lost_and_another_is_not(self):
        async with fleet_with_cut_host(cut_services={DESK}) as (_, session, host):
            for path in ("plan", "book"):
                async with post(session, host, path, 2) as resp:
                    self.assertEqual(200, resp.status)
                    self.assertIn("X-Replica-Signature", resp.headers)
            self.assertFalse(lost(host))
            relayed = host.relays.client.sent
            async with post(session, host, "plan", 3) as resp:
                await resp.read()
            self.assertEqual(relayed, host.relays.client.sent)

    async def test_a_host_that_reaches_the_endpoints_again_relays_nothing(self):
        async with fleet_with_cut_host(Cut.SILENT) as (_, session, host):
            host.endpoint_client.cut = Cut.NONE
            await until(lambda: not lost(host) and not lost(host, DESK), REGAINED_S * 2)
            relayed = host.relays.client.sent
            served = await send_plans(session, [host], random.Random(1), 1.0, 0.05)
            self.assertTrue(all(served))
            self.assertEqual(relayed, host.relays.client.sent)

    async def test_a_caller_that_leaves_cancels_the_relayed_attempt(self):
        async with fleet_with_cut_host() as (fleet, session, host):
            endpoints = fleet.platform.endpoints.values()
            for endpoint in endpoints:
                endpoint.event_count, endpoint.gap_s = 1000, 0.02
            async with post(session, host, number=2) as resp:
                await resp.content.readany()
                self.assertEqual(1, sum(h.relays.server.in_flight for h in fleet.hosts))
                resp.close()
            await until(lambda: sum(e.aborted_count for e in endpoints) == 1, 2.0)
            await until(lambda: not any(h.relays.server.in_flight for h in fleet.hosts))

    async def test_a_caller_that_leaves_before_the_answer_cancels_it_too(self):
        async with fleet_with_cut_host() as (fleet, session, host):
            endpoints = fleet.platform.endpoints.values()
            for endpoint in endpoints:
                endpoint.head_delay_s = 3.0
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(0.3):
                    await post(session, host, number=2)
            await until(lambda: sum(e.aborted_count for e in endpoints) == 1, 2.0)

    async def test_a_stream_goes_on_at_another_peer_when_the_first_is_lost(self):
        async with fleet_with_cut_host() as (fleet, session, host):
            for endpoint in fleet.platform.endpoints.values():
                endpoint.event_count, endpoint.gap_s = 40, 0.02
            async with post(session, host, number=2) as resp:
                body = await resp.content.readany()
                helper = next(h for h in fleet.hosts if h.relays.server.in_flight)
                break_off_peers(helper)
                body += await resp.read()
            ids = [int(line[4:]) for line in body.split(b"\n") if line[:3] == b"id:"]
            self.assertEqual(list(range(1, 41)), ids)
            self.assertEqual(2, len(arrivals(fleet, "plan-2")))

    async def test_a_silent_stream_is_kept_by_the_peer_if_no_retry_is_left(self):
        """Guards rule LOST: the peer gave up what the sender could not go on with."""
        await self._check_silent_stream_is_kept(spent_before=True)

    async def test_a_silent_stream_is_kept_by_the_peer_if_the_retry_is_spent_later(
        self,
    ):
        """Guards rule LOST: the peer relied on a retry that its sender had spent."""
        await self._check_silent_stream_is_kept(spent_before=False)

    async def _check_silent_stream_is_kept(self, spent_before):
        spent = HostRetryBudget(0.0, 10.0, 0.0)
        async with fleet_with_cut_host() as (fleet, session, host):
            endpoints = fleet.platform.endpoints.values()
            for endpoint in endpoints:
                endpoint.event_count, endpoint.gap_s = 20, 0.02
            if spent_before:
                host.dispatcher._budgets[SERVICE] = spent
            async with post(session, host, number=2) as resp:
                body = await resp.content.readany()
                host.dispatcher._budgets[SERVICE] = spent
                for endpoint in endpoints:
                    endpoint.gap_s = 2.6
                await asyncio.sleep(0.1)
                for endpoint in endpoints:
                    endpoint.gap_s = 0.02
                body += await resp.read()
            ids = [int(line[4:]) for line in body.split(b"\n") if line[:3] == b"id:"]
            self.assertEqual(list(range(1, 21)), ids)
            self.assertEqual(1, len(arrivals(fleet, "plan-2")))

    async def test_a_booking_whose_peer_is_lost_runs_once_and_is_not_called_unrun(self):
        async with fleet_with_cut_host() as (fleet, session, host):
            for endpoint in fleet.platform.endpoints.values():
                endpoint.head_delay_s = 0.5
            sending = asyncio.ensure_future(self._status(session, host, "book", 2))
            await until(lambda: any(h.relays.server.in_flight for h in fleet.hosts))
            await asyncio.sleep(0.1)
            helper = next(h for h in fleet.hosts if h.relays.server.in_flight)
            break_off_peers(helper)
            self.assertEqual(502, await sending)
            self.assertEqual(1, len(arrivals(fleet, "book-2")))

    async def test_a_booking_is_not_called_unrun_if_the_peer_has_an_internal_error(
        self,
    ):
        """The peer may have sent it to an endpoint before."""

        async def fail(*args):
            raise RuntimeError("a fault of the peer")

        async with fleet_with_cut_host() as (fleet, session, host):
            for other in fleet.hosts[1:]:
                other.relays.server.relay = fail
            self.assertEqual(502, await self._status(session, host, "book", 2))

    async def test_a_reply_to_another_request_says_nothing_of_this_one(self):
        head_of = _Relay._head

        def foreign_head(relay):
            head = head_of(relay)
            head.request_id = "another"
            return head

        async with fleet_with_cut_host() as (_, session, host):
            with patch.object(_Relay, "_head", foreign_head):
                self.assertEqual(502, await self._status(session, host, "book", 2))

    async def test_without_a_peer_that_reaches_it_requests_are_rejected_at_once(self):
        async with fleet_with_cut_host() as (fleet, session, _):
            for host in fleet.hosts:
                host.endpoint_client.cut = Cut.SILENT
            await send_plans(session, fleet.hosts, random.Random(1), 2.0, 0.1)
            await until(lambda: all(map(lost, fleet.hosts)))
            await asyncio.sleep(1.0)  # the peers have told it
            for host in fleet.hosts:
                attempts = host.relays.client.sent
                async with post(session, host, number=2) as resp:
                    body = await resp.json()
                self.assertEqual(503, resp.status)
                self.assertEqual("not-run", body["error"]["verdict"])
                self.assertGreaterEqual(
                    float(resp.headers["Retry-After"]), PROBE_LOST_INTERVAL_S
                )
                self.assertEqual(attempts, host.relays.client.sent)

    async def test_an_endpoint_that_crashes_does_not_make_the_last_peer_useless(self):
        async with fleet_with_cut_host() as (fleet, session, host):
            for other in fleet.hosts[1:3]:
                other.endpoint_client.cut = Cut.REFUSED
                await send_plans(session, [other], random.Random(4), 0.2, 0.05)
                await until(lambda other=other: lost(other))
            await asyncio.sleep(1.0)  # the peers have told it
            fleet.platform.endpoints["llm-0"].crash()
            for number in range(9):
                async with post(session, host, number=number + 2) as resp:
                    self.assertEqual(200, resp.status)
                    await resp.read()
            self.assertEqual(0, host.relays.client.rejected)

    async def test_a_refusal_of_the_endpoint_reaches_the_caller_through_the_peer(self):
        async with fleet_with_cut_host() as (fleet, session, host):
            for endpoint in fleet.platform.endpoints.values():
                endpoint.pause_s = 2.0
                endpoint.set_faults(refuses=True)
            async with post(session, host, number=2) as resp:
                self.assertEqual(503, resp.status)
                self.assertGreater(float(resp.headers["Retry-After"]), 1.0)
            endpoints = fleet.platform.endpoints.values()
            paths = [path for endpoint in endpoints for path, *_ in endpoint.ran]
            self.assertNotIn("/plan/2", paths)

    async def test_an_endpoint_that_is_silent_for_a_second_loses_no_service(self):
        async with running_fleet(HOST_COUNT) as (fleet, session):
            rng = random.Random(3)
            sending = asyncio.ensure_future(
                send_plans(session, fleet.hosts, rng, 3.0, 0.05)
            )
            await asyncio.sleep(0.8)
            silent = fleet.platform.endpoints["llm-0"]
            silent.head_delay_s = 1.0
            silent.gap_s = 0.25
            await asyncio.sleep(1.0)
            silent.head_delay_s, silent.gap_s = 0.0, 0.01
            served = await sending
            self.assertTrue(all(served))
            self.assertEqual(0, sum(h.relays.client.sent for h in fleet.hosts))
            self.assertFalse(any(map(lost, fleet.hosts)))

    @staticmethod
    async def _status(session, host, path, number):
        try:
            async with post(session, host, path, number) as resp:
                await resp.read()
                return resp.status
        except aiohttp.ClientError:
            return 0
