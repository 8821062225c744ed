"""Copies of other hosts' bills, settled when their host is gone."""

from dataclasses import dataclass, field

import logbook
import msgspec

from radishshift.bills import BILL_TOPIC, Bill, CopyMessage, store_bills
from radishshift.clocks import Clock
from radishshift.errors import BillsFullError
from radishshift.hosts import HostState
from radishshift.peers import Peers
from radishshift.platform import Platform

__all__ = ["BillCopies"]

COPIES_MAX = 50_000
GONE_S = 10.0

logger = logbook.Logger("bills")


@dataclass(slots=True)
class _Owner:
    """Bills of one incarnation of a host, by the number of their batch."""

    host: str
    incarnation: int
    heard_at: float
    settled_below: int = 0
    batches: dict[int, dict[str, Bill]] = field(default_factory=dict)


class BillCopies:
    """Copies that this host holds for its peers.

    Parameters
    ----------
    platform : Platform
    clock : Clock
    peers : Peers
    bound : int
        Copies held; a peer that would go over it must find another place.
    """

    def __init__(
        self, platform: Platform, clock: Clock, peers: Peers, bound: int = COPIES_MAX
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._peers = peers
        self._bound = bound
        self._owners: dict[tuple[str, int], _Owner] = {}
        peers.handle(BILL_TOPIC, self._take)

    @property
    def held(self) -> int:
        """Return the number of copies."""
        return sum(
            len(batch)
            for owner in self._owners.values()
            for batch in owner.batches.values()
        )

    async def _take(self, _: str, data: bytes) -> bytes:
        message = msgspec.json.decode(data, type=CopyMessage)
        now = self._clock.now()
        key = (message.host, message.incarnation)
        owner = self._owners.setdefault(key, _Owner(*key, now))
        owner.heard_at = now
        owner.settled_below = max(owner.settled_below, message.settled_below)
        for number in [n for n in owner.batches if n < owner.settled_below]:
            del owner.batches[number]
        coming = sum(len(bills) for bills in message.bills.values())
        if self.held + coming > self._bound:
            raise BillsFullError("no room for copies of bills")
        for number, bills in message.bills.items():
            batch = owner.batches.setdefault(number, {})
            batch.update((bill.run, bill) for bill in bills)
        return b"{}"

    async def settle_gone(self) -> None:
        """Write the batches of hosts that are gone, under their own names.

        Raises
        ------
        PlatformUnavailableError
            Nothing is lost; the next call goes on.
        """
        for key, owner in list(self._owners.items()):
            if not self._gone(owner):
                continue
            for number in sorted(owner.batches):
                await self._settle(owner, number)
            if not owner.batches:
                self._owners.pop(key, None)

    def _gone(self, owner: _Owner) -> bool:
        if self._clock.now() - owner.heard_at < GONE_S:
            return False
        for host in self._peers.hosts():
            if host.name == owner.host and host.incarnation == owner.incarnation:
                return host.state is HostState.DEAD
        return True

    async def _settle(self, owner: _Owner, number: int) -> None:
        """Store a batch; what another has not stored goes under a further name."""
        batch = owner.batches[number]
        first_name = f"{owner.host}-{owner.incarnation}-{number}"
        name = first_name
        further = 0
        missing = dict(batch)
        while missing:
            stored = await store_bills(self._platform, name, missing.values())
            missing = {
                run: bill
                for run, bill in missing.items()
                if stored.get(run, -1) < len(bill.items)
            }
            further += 1
            name = f"{first_name}.{self._peers.me.name}.{further}"
        logger.info("settled {} bills of {}", len(batch), owner.host)
        owner.batches.pop(number, None)
