"""Hosts in virtual time that reach each other and endpoints without sockets."""

import asyncio
import random
from types import SimpleNamespace

import msgspec

from radishshift.errors import EndpointRefusedError, EndpointUnreachableError
from radishshift.gateway.deployment import RouteKind
from radishshift.gateway.endpoint_permits import (
    AttemptEnded,
    PermitQuestion,
    PermitReply,
)
from radishshift.gateway.gossip_messages import GossipMessage
from radishshift.gateway.host_settings import GatewaySettings
from radishshift.gateway.relay_messages import RelayOrder, decode_message
from radishshift.gateway.relays import Relays
from radishshift.gateway.shared_placement import _Question, _Reply
from tests.gateway.worlds import Script, World, route
from tests.limit_rule import most_in_window

__all__ = ["EVENTS", "STREAM", "BrittleEndpoint", "Network", "now"]

STREAM = route(RouteKind.STREAM)
EVENTS = tuple(f"id: {number}\ndata: x\n\n".encode() for number in range(1, 6))
CONNECT_TIMEOUT_S = 0.35  # of attempts at endpoints that are cut off
SETTLE_S = 4.0  # until all hosts know of each other
LOCAL_S, REMOTE_S = 0.0004, 0.006  # round trips


class Network:
    """Hosts and endpoints, with the arrivals at each endpoint.

    Parameters
    ----------
    seed, hosts, centres, endpoints_per_centre : int
    """

    def __init__(self, seed, hosts, centres, endpoints_per_centre):
        self.rng = random.Random(seed)
        self.arrivals = {}
        self.limits = {}
        self.refused_share = 0.0
        self.brittle = {}
        self.silent_until = {}
        self.statuses = []
        self.dead = set()
        self.centre_of = {
            f"{centre}-{number}": f"dc-{centre}"
            for centre in range(centres)
            for number in range(endpoints_per_centre)
        }
        self.hosts = {
            f"edge-{number}": NetworkHost(
                self, f"edge-{number}", f"dc-{number % centres}"
            )
            for number in range(hosts)
        }
        self._tasks = {}

    async def start(self):
        """Let the hosts gossip until they know each other."""
        for name, host in self.hosts.items():
            self._tasks[name] = asyncio.gather(
                host.gossip.run(), host.world.dispatcher.services.run()
            )
        await asyncio.sleep(SETTLE_S)

    async def load(self, rate_per_s, duration_s):
        """Send requests to all hosts at random instants, and await their answers."""
        loads = [host.load(rate_per_s, duration_s) for host in self.hosts.values()]
        await asyncio.gather(*loads)

    async def stop(self):
        """End the gossip."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    def silence(self, endpoint, duration_s):
        """Let an endpoint answer nothing for a time, connections included."""
        self.silent_until[endpoint] = now() + duration_s
        for host in self.hosts.values():
            host.world.endpoints.cut_off.add(endpoint)
            asyncio.get_running_loop().call_later(
                duration_s, host.world.endpoints.cut_off.discard, endpoint
            )

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


class NetworkHost:
    """One host; its messages are encoded and decoded as between processes."""

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
        self.permits._tell = self._tell_end
        self.placement._ask = self._ask_placement
        self.relays = Relays(
            settings,
            world.clock,
            world.host_view,
            world.dispatcher,
            self.gossip,
            lambda: False,
        )
        world.dispatcher.services.on_change = self._announce_change
        self.relays.client._post = self._post_relay
        self.cut_off = False
        self.most_relaying = 0
        self.statuses = []
        world.dispatcher.slack_share = None
        self._send_to_endpoint = world.endpoints.send
        world.endpoints.send = self._send
        self._background = set()

    async def load(self, rate_per_s, duration_s):
        """Send requests of different callers; requests of a dead host fail."""
        rng = self.network.rng
        ends_at = now() + duration_s
        tasks = []
        while self.name not in self.network.dead:
            await asyncio.sleep(rng.expovariate(rate_per_s))
            if now() >= ends_at:
                break
            number = f"{self.name}-{len(tasks)}"
            tasks.append(asyncio.create_task(self._request(number)))
        await asyncio.gather(*tasks)

    async def _request(self, number):
        caller = await self.world.send_request(number, body=number.encode())
        self.network.statuses.append(caller.status)
        self.statuses.append((now(), caller.status))

    async def _send(self, order):
        network = self.network
        endpoint = order.member.name
        if self.cut_off:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise EndpointUnreachableError("no connection")
        network.arrivals.setdefault(endpoint, []).append(now())
        silent_s = network.silent_until.get(endpoint, 0.0) - now()
        if silent_s > CONNECT_TIMEOUT_S:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise EndpointUnreachableError("no connection")
        if silent_s > 0:
            await asyncio.sleep(silent_s)
        if endpoint in network.brittle:
            return await self._send_to_brittle(order, network.brittle[endpoint])
        refused = network.rng.random() < network.refused_share
        if refused and endpoint not in network.limits:
            await asyncio.sleep(0.005)
            raise EndpointRefusedError("full")
        answer = await self._send_to_endpoint(order)
        self._record_limit(order.member, network.limits.get(endpoint))
        return answer

    async def _send_to_brittle(self, order, brittle):
        await asyncio.sleep(0.003)
        try:
            brittle.admit()
        except EndpointRefusedError:
            self._record_brittle(order.member, brittle.stated)
            raise
        brittle.running += 1
        asyncio.get_running_loop().call_later(brittle.run_s, brittle.end)
        await asyncio.sleep(brittle.run_s)
        self._record_brittle(order.member, brittle.stated)
        return await self._send_to_endpoint(order)

    def _record_limit(self, member, per_s):
        if self.world.limits.record(member.incarnation, per_s, now()):
            self._announce_change()

    def _record_brittle(self, member, refusals_per_s):
        if self.world.limits.record(member.incarnation, None, now(), refusals_per_s):
            self._announce_change()

    def _announce_change(self):
        self._spawn(self.gossip.announce_change())

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return task

    def cut(self):
        """Lose the way to all endpoints, on open connections, too."""
        self.cut_off = True
        self.world.endpoints.cut_off.update(self.network.centre_of)

    def heal(self):
        """Reach the endpoints again."""
        self.cut_off = False
        self.world.endpoints.cut_off.clear()

    async def _gossip_to(self, address, message):
        peer = await self.network.reach(address, self.data_centre)
        reply = peer.gossip._reply(_wire(message, GossipMessage))
        return _wire(reply, GossipMessage)

    async def _ask_permit(self, address, question):
        peer = await self.network.reach(address, self.data_centre)
        retry_s = peer.permits.grant(_wire(question, PermitQuestion))
        return PermitReply(retry_s)

    async def _tell_end(self, address, ended):
        peer = await self.network.reach(address, self.data_centre)
        return peer.permits.record_end(_wire(ended, AttemptEnded))

    async def _post_relay(self, address, body):
        peer = await self.network.reach(address, self.data_centre)
        order = decode_message(body, RelayOrder)
        resp = RelayPipe()
        server = peer.relays.server
        resp.task = peer._spawn(
            server.relay(order, order.job(now()), resp.request, resp)
        )
        peer.most_relaying = max(peer.most_relaying, server.in_flight + 1)
        return resp

    async def _ask_placement(self, address, question):
        peer = await self.network.reach(address, self.data_centre)
        return _Reply(peer.placement.place(_wire(question, _Question)))


class BrittleEndpoint:
    """An endpoint that falls over when it has to refuse too much.

    Parameters
    ----------
    stated : int
        Requests that it may refuse within a second.
    room : int
        Requests that it takes at a time.
    run_s : float
        Time to the head of an answer, for which a request takes up room.
    """

    def __init__(self, stated, room, run_s=0.3):
        self.stated = stated
        self.room = room
        self.run_s = run_s
        self.running = 0
        self.refused_at = []
        self.falls = []
        self.back_at = 0.0

    def admit(self):
        """Raise if there is no room, or if it has fallen over.

        Raises
        ------
        EndpointRefusedError, EndpointUnreachableError
        """
        if now() < self.back_at:
            raise EndpointUnreachableError("fell over")
        if self.running < self.room:
            return
        self.refused_at = [at for at in self.refused_at if at > now() - 1.0]
        self.refused_at.append(now())
        if len(self.refused_at) > self.stated:
            self.falls.append(now())
            self.refused_at = []
            self.back_at = now() + 2.0
        raise EndpointRefusedError("full")

    def end(self):
        """End a request."""
        self.running -= 1


class RelayPipe:
    """Both ends of the response to a relay order, in memory."""

    status = 200

    def __init__(self):
        self.task = None
        self.prepared = False
        self.request = SimpleNamespace(transport=SimpleNamespace(abort=self._break_off))
        self.content = self
        self._reader = asyncio.StreamReader()
        self._broken = False

    def enable_chunked_encoding(self):
        """Do nothing; what is in memory has its framing."""

    async def prepare(self, request):
        self.prepared = True

    async def write(self, data):
        self._reader.feed_data(data)

    async def write_eof(self):
        self._reader.feed_eof()

    async def readuntil(self, separator):
        return await self._reader.readuntil(separator)

    async def readany(self):
        data = await self._reader.read(1 << 16)
        if not data and self._broken:
            raise ConnectionResetError
        return data

    def exception(self):
        return None

    def read_nowait(self, size):
        return b""

    def release(self):
        """Do nothing; there is no connection to keep."""

    def close(self):
        self.task.cancel()

    def _break_off(self):
        self._broken = True
        self._reader.feed_eof()


def _wire(message, kind):
    return msgspec.json.decode(msgspec.json.encode(message), type=kind)


def now():
    """Return the virtual time."""
    return asyncio.get_running_loop().time()
