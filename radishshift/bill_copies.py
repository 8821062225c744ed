"""Copies of other hosts' bills, which this host settles if their owner dies."""

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
OWNER_DEAD_AFTER_S = 2.0
FORWARD_TIMEOUT_S = 0.5

logger = logbook.Logger("bills")


@dataclass(slots=True)
class _Owner:
    """Copied bills of one incarnation of a host, by the number of their batch.

    `other_holder` is another host that has copies, with its incarnation.
    """

    host: str
    incarnation: int
    last_message_at: float
    settled_below: int = 0
    other_holder: tuple[str, int] | None = None
    batches: dict[int, dict[str, Bill]] = field(default_factory=dict)


class BillCopies:
    """Copies of bills that this host holds for its peers.

    Parameters
    ----------
    platform : Platform
    clock : Clock
    peers : Peers
    max_copies : int
        Number of copies at which further ones are refused; the peer must then find
        another holder.
    """

    def __init__(
        self,
        platform: Platform,
        clock: Clock,
        peers: Peers,
        max_copies: int = COPIES_MAX,
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._peers = peers
        self._max_copies = max_copies
        self._owners: dict[tuple[str, int], _Owner] = {}
        self._draining = False
        peers.handle(BILL_TOPIC, self._receive_copies)

    @property
    def copy_count(self) -> int:
        """Return the number of bills of which this host holds a copy."""
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
            if self._is_dead(owner) and not self._is_held_by_other(owner)
            for batch in owner.batches.values()
            for run in batch
        }

    def _is_held_by_other(self, owner: _Owner) -> bool:
        other = owner.other_holder
        return other is not None and self._live_incarnation(other[0]) == other

    async def _receive_copies(self, sender: str, data: bytes) -> bytes:
        message = msgspec.json.decode(data, type=CopyMessage)
        now = self._clock.now()
        key = (message.host, message.incarnation)
        owner = self._owners.setdefault(key, _Owner(*key, now))
        owner.last_message_at = now
        owner.settled_below = max(owner.settled_below, message.settled_below)
        for number in [n for n in owner.batches if n < owner.settled_below]:
            del owner.batches[number]
        incoming = sum(len(bills) for bills in message.bills.values())
        if self._draining or self.copy_count + incoming > self._max_copies:
            raise BillsFullError("this host accepts no more copies of bills")
        if sender != message.host:
            owner.other_holder = self._live_incarnation(sender)
        for number, bills in message.bills.items():
            batch = owner.batches.setdefault(number, {})
            batch.update((bill.run, bill) for bill in bills)
        return b"{}"

    async def settle_dead_owners(self) -> None:
        """Settle the batches of dead hosts, under the names their owners would use.

        Raises
        ------
        PlatformUnavailableError
            The copies are retained; the next call tries again.
        """
        for owner in list(self._owners.values()):
            if self._is_dead(owner):
                await self._settle_owner(owner)

    async def hand_over(self) -> None:
        """Settle all copies or forward them to another host before this host stops.

        This includes owners that seem alive, as one may have died undetected. An
        owner that is alive finds its batch settled and continues with the next.

        Raises
        ------
        PlatformUnavailableError
            The copies were forwarded instead, if a host was reachable.
        """
        self._draining = True
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
                await self._settle_batch(owner, number)
        except RadishshiftError:
            await self._forward(owner)
            raise
        if not owner.batches:
            self._owners.pop((owner.host, owner.incarnation), None)

    def _is_dead(self, owner: _Owner) -> bool:
        for host in self._peers.hosts():
            if host.name == owner.host:
                is_same = host.incarnation == owner.incarnation
                return not is_same or host.state is HostState.DEAD
        return self._clock.now() - owner.last_message_at >= OWNER_DEAD_AFTER_S

    def _live_incarnation(self, name: str) -> tuple[str, int] | None:
        for host in self._peers.live():
            if host.name == name:
                return name, host.incarnation
        return None

    async def _forward(self, owner: _Owner) -> None:
        """Copy an owner's bills to another live host, unless one has them already."""
        if self._is_held_by_other(owner):
            return
        me = self._peers.me
        hosts = [host for host in self._peers.live() if host.name != owner.host]
        hosts.sort(key=lambda host: host.data_centre != me.data_centre)
        for host in hosts:
            try:
                await self._send(host.name, owner)
            except RadishshiftError as exc:
                logger.warning(
                    "host {} did not accept copies of bills: {}", host.name, exc.message
                )
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
            deadline = self._clock.now() + FORWARD_TIMEOUT_S
            await self._peers.call(host, BILL_TOPIC, data, deadline)

    async def _settle_batch(self, owner: _Owner, number: int) -> None:
        """Settle a batch under its owner's name for it.

        If the stored batch lacks some of the bills, because its owner or another
        holder wrote it first, those go into a batch with a suffix to the name.
        """
        batch = owner.batches.get(number)
        if batch is None:
            # The owner has reported in the meantime that it settled this batch.
            return
        first_name = f"{owner.host}-{owner.incarnation}-{number}"
        name = first_name
        suffix = 0
        missing = dict(batch)
        while missing:
            stored = await store_bills(self._platform, name, missing.values())
            missing = {
                run: bill
                for run, bill in missing.items()
                if stored.get(run, -1) < len(bill.items)
            }
            suffix += 1
            name = f"{first_name}.{self._peers.me.name}.{suffix}"
        logger.info("settled {} bills of {}", len(batch), owner.host)
        owner.batches.pop(number, None)
