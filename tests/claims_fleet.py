"""Fixtures for tests of claims and bills: hosts before one platform, and calls."""

from radishshift.claims import Claims
from radishshift.contracts import Contract, Limits, Objectives, TaskClass
from radishshift.engines import ServiceReply
from radishshift.hosts import Host
from radishshift.peers import MemoryPeers
from radishshift.platform import MemoryPlatform
from radishshift.requests import ServiceCall
from radishshift.standins.faulty import FaultyPlatform
from radishshift.virtual_time import LoopClock

CLOCK = LoopClock()
REPLY = ServiceReply(201, "application/json", b'{"booking": 1}')
CONTRACT = Contract(
    customer="uyole-ring",
    key_digests=(),
    allowed=frozenset({"booking-desk"}),
    weight=1.0,
    limits=Limits(100.0, 1e6, 100),
    quality={},
    default_class="booking",
)
BOOKING = TaskClass("booking", 1, 20.0, False, Objectives(1.0, 1.0, 1.0, 0.99))


def booking(key="booking-1", body=b"harvester-3", request_id="request-1"):
    """Return a non-idempotent call with a deadline in 20 seconds."""
    now = CLOCK.now()
    return ServiceCall(
        request_id=request_id,
        contract=CONTRACT,
        task_class=BOOKING,
        service="booking-desk",
        method="POST",
        path="/bookings",
        headers={},
        body=body,
        idempotent=False,
        arrived=now,
        deadline=now + 20.0,
        idempotency_key=key,
    )


class Fleet:
    """Entry hosts of two data centres that share one platform.

    `platform_clients` holds the `FaultyPlatform` through which each host reaches the
    platform.
    """

    def __init__(self, *names):
        self.platform = MemoryPlatform()
        self.network = {}
        self.platform_clients = {}
        self.claims = {}
        for number, name in enumerate(names or ("mbeya-1", "mbeya-2", "iringa-1")):
            self.add(name, number)

    def add(self, name, incarnation=1):
        data_centre = name.partition("-")[0]
        me = Host(name, data_centre, "tz-south", "", incarnation)
        peers = MemoryPeers(me, self.network)
        client = FaultyPlatform(self.platform, CLOCK, seed=incarnation)
        self.platform_clients[name] = client
        process = f"{name}-{incarnation}"
        self.claims[name] = Claims(client, CLOCK, process, peers)

    def fault(self, **faults):
        """Set the same faults on every host's connection to the platform."""
        for client in self.platform_clients.values():
            for name, value in faults.items():
                setattr(client.faults, name, value)
