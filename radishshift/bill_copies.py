"""Copies of other hosts' bills, settled when their host is gone."""

from dataclasses import dataclass, field

import logbook
import msgspec

from radishshift.bills import BILL_TOPIC, Bill, CopyMessage, store_bills
from radishshift.clocks import Clock
from radishshift.errors import BillsFullError, RadishshiftError
from radishshift.hosts import HostState
from radishshift.peers import Peers
from radishshift.platform import Platform

__all__ = ["BillCopies"]

COPIES_MAX = 50_000
GONE_S = 2.0
PASS_ON_S = 0.5

logger = logbook.Logger("bills")


@dataclass(slots=True)
class _Owner:
    """Bills of one incarnation of a host, by the number of their batch.

    `other_holder` is a host that holds them too, with its incarnation.
    """

    host: str
    incarnation: int
    heard_at: float
    settled_below: int = 0
    other_holder: tuple[str, int] | None = None
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
        self._leaving = False
        peers.handle(BILL_TOPIC, self._receive_copies)

    @property
    def copy_count(self) -> int:
        """Return the number of copies."""
        return sum(
            len(batch)
            for owner in self._owners.values()
            for batch in owner.batches.values()
        )

    def unreplicated_runs(self) -> set[str]:
        """Return the runs of dead hosts' bills that no other live host holds."""
        return {
            run
            for owner in self._owners.values()
            if self._gone(owner) and not self._is_held_elsewhere(owner)
            for batch in owner.batches.values()
            for run in batch
        }

    def _is_held_elsewhere(self, owner: _Owner) -> bool:
        other = owner.other_holder
        return other is not None and self._incarnation_of(other[0]) == other

    async def _receive_copies(self, sender: str, data: bytes) -> bytes:
        message = msgspec.json.decode(data, type=CopyMessage)
        now = self._clock.now()
        key = (message.host, message.incarnation)
        owner = self._owners.setdefault(key, _Owner(*key, now))
        owner.heard_at = now
        owner.settled_below = max(owner.settled_below, message.settled_below)
        for number in [n for n in owner.batches if n < owner.settled_below]:
            del owner.batches[number]
        coming = sum(len(bills) for bills in message.bills.values())
        if self._leaving or self.copy_count + coming > self._bound:
            raise BillsFullError("no room for copies of bills")
        if sender != message.host:
            owner.other_holder = self._incarnation_of(sender)
        for number, bills in message.bills.items():
            batch = owner.batches.setdefault(number, {})
            batch.update((bill.run, bill) for bill in bills)
        return b"{}"

    async def settle_dead_owners(self) -> None:
        """Write the batches of hosts that are gone, under their own names.

        Raises
        ------
        PlatformUnavailableError
            Nothing is lost; the next call goes on.
        """
        for owner in list(self._owners.values()):
            if self._gone(owner):
                await self._settle_owner(owner)

    async def hand_over(self) -> None:
        """Settle or pass on all copies, as this host is about to end.

        An owner may have died without anyone knowing; one that lives finds its
        batch settled and carries on.

        Raises
        ------
        PlatformUnavailableError
            The copies were passed on, if a host was in reach.
        """
        self._leaving = True
        failure = None
        for owner in list(self._owners.values()):
            try:
                await self._settle_owner(owner)
            except RadishshiftError as exc:
                failure = exc
        if failure is not None:
            raise failure

    async def _settle_owner(self, owner: _Owner) -> None:
        try:
            for number in sorted(owner.batches):
                await self._settle(owner, number)
        except RadishshiftError:
            await self._pass_on(owner)
            raise
        if not owner.batches:
            self._owners.pop((owner.host, owner.incarnation), None)

    def _gone(self, owner: _Owner) -> bool:
        for host in self._peers.hosts():
            if host.name == owner.host:
                is_same = host.incarnation == owner.incarnation
                return not is_same or host.state is HostState.DEAD
        return self._clock.now() - owner.heard_at >= GONE_S

    def _incarnation_of(self, name: str) -> tuple[str, int] | None:
        for host in self._peers.live():
            if host.name == name:
                return name, host.incarnation
        return None

    async def _pass_on(self, owner: _Owner) -> None:
        """See to it that one more live host holds the bills of one that is gone."""
        if self._is_held_elsewhere(owner):
            return
        me = self._peers.me
        hosts = [host for host in self._peers.live() if host.name != owner.host]
        hosts.sort(key=lambda host: host.data_centre != me.data_centre)
        for host in hosts:
            try:
                await self._send(host.name, owner)
            except RadishshiftError as exc:
                logger.warning("{} took no copy of bills: {}", host.name, exc.message)
            else:
                owner.other_holder = (host.name, host.incarnation)
                return

    async def _send(self, host: str, owner: _Owner) -> None:
        for number, batch in list(owner.batches.items()):
            bills = {number: list(batch.values())}
            message = CopyMessage(
                owner.host, owner.incarnation, owner.settled_below, bills
            )
            data = msgspec.json.encode(message)
            deadline = self._clock.now() + PASS_ON_S
            await self._peers.call(host, BILL_TOPIC, data, deadline)

    async def _settle(self, owner: _Owner, number: int) -> None:
        """Store a batch; what another has not stored goes under a further name."""
        batch = owner.batches.get(number)
        if batch is None:
            # Its owner has told meanwhile that it is settled.
            return
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
