"""Bills: one for each request, with an item for each attempt.

A host collects its bills in batches, numbered from 0 for each incarnation, and
settles a batch by creating one object at the platform, named
`HOST-INCARNATION-NUMBER`, unless it exists. Before the last byte of an answer is
sent, its bill is made durable: a peer has a copy, see `bill_copies`, or the batch
is at the platform.
"""

import asyncio
import uuid
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

import logbook
import msgspec

from radishshift.clocks import Clock
from radishshift.errors import (
    AlreadyExistsError,
    BillsFullError,
    NotFoundError,
    PlatformUnavailableError,
    RadishshiftError,
)
from radishshift.objects import Kind, StoredObject
from radishshift.peers import Peers
from radishshift.platform import Platform
from radishshift.verdicts import Verdict

__all__ = [
    "BILL_TOPIC",
    "Bill",
    "BillItem",
    "Biller",
    "CopyMessage",
    "store_bills",
]

UNSETTLED_BILLS_MAX = 50_000
BATCH_BILLS_MAX = 500
SETTLED_CACHE_BILLS_MAX = 10_000
COPY_BILLS_MAX = 200
COPY_TIMEOUT_S = 0.5
PEER_COOLDOWN_S = 5.0
COPY_PEERS_TRIED_MAX = 2
BILLS_FULL_RETRY_AFTER_S = 5.0
BILL_TOPIC = "bills"

logger = logbook.Logger("bills")


def _new_run_id() -> str:
    return uuid.uuid4().hex


@dataclass(frozen=True, slots=True)
class BillItem:
    """One attempt on a bill.

    Attributes
    ----------
    served_by : str
        Name of the version or service.
    endpoint : str
    prompt_tokens, completion_tokens : int
    cost : int
        What the customer pays, in billionths of the currency unit.
    operator_cost : int
        What a failed attempt may have cost the operator, in billionths of the
        currency unit; the customer does not pay it.
    """

    served_by: str
    endpoint: str
    prompt_tokens: int
    completion_tokens: int
    cost: int
    operator_cost: int = 0


@dataclass(slots=True)
class Bill:
    """What a customer owes for one request.

    Attributes
    ----------
    request_id, customer : str
    items : list of BillItem
    run : str
        Identifies the run of the request that this bill is for; a resend through
        another host is another run and gets its own bill.
    """

    request_id: str
    customer: str
    items: list[BillItem] = field(default_factory=list)
    run: str = field(default_factory=_new_run_id)

    @property
    def cost(self) -> int:
        """Return the sum of the items in billionths of the currency unit."""
        return sum(item.cost for item in self.items)


class CopyMessage(msgspec.Struct):
    """Bills of unsettled batches, as they are copied to a peer.

    Attributes
    ----------
    host : str
        Owner of the bills.
    incarnation : int
    settled_below : int
        Batches with a lower number are at the platform.
    bills : dict of int to list of Bill
        By the number of the batch.
    """

    host: str
    incarnation: int
    settled_below: int
    bills: dict[int, list[Bill]]


async def store_bills(
    platform: Platform, name: str, bills: Iterable[Bill]
) -> dict[str, int]:
    """Create a batch unless it exists; return its number of items for each run.

    If the batch exists, its content may differ from `bills`.

    Raises
    ------
    PlatformUnavailableError
    """
    spec = {"bills": msgspec.to_builtins(list(bills))}
    item = StoredObject(Kind.BILL_BATCH, name, spec)
    try:
        stored = await platform.create(item)
    except AlreadyExistsError:
        stored = await platform.get(Kind.BILL_BATCH, name)
    except PlatformUnavailableError as exc:
        if exc.verdict is Verdict.NOT_RUN:
            raise
        stored = await _read_back(platform, name, exc)
    return {bill["run"]: len(bill["items"]) for bill in stored.spec["bills"]}


async def _read_back(
    platform: Platform, name: str, cause: PlatformUnavailableError
) -> StoredObject:
    try:
        return await platform.get(Kind.BILL_BATCH, name)
    except NotFoundError as exc:
        raise cause from exc


class Biller:
    """Collects bills, copies them to peers and settles them at the platform.

    Parameters
    ----------
    platform : Platform
    clock : Clock
    host_name : str
    incarnation : int
    peers : Peers or None
    max_unsettled : int
        Number of unsettled bills at which work that must be billed is refused.
    """

    def __init__(
        self,
        platform: Platform,
        clock: Clock,
        host_name: str,
        incarnation: int,
        peers: Peers | None = None,
        max_unsettled: int = UNSETTLED_BILLS_MAX,
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._host_name = host_name
        self._incarnation = incarnation
        self._peers = peers
        self._max_unsettled = max_unsettled
        self._open_number = 0
        self._batches: dict[int, dict[str, Bill]] = {0: {}}
        self._settled: OrderedDict[str, Bill] = OrderedDict()
        self._settle_lock = asyncio.Lock()
        self._pending_copies: list[tuple[int, Bill, asyncio.Future[None]]] = []
        self._copy_task: asyncio.Task[None] | None = None
        # Peer that has a copy, by run; None until a peer has one.
        self._copy_holders: dict[str, tuple[str, int] | None] = {}
        self._cooldown_until: dict[str, float] = {}

    @property
    def unsettled(self) -> int:
        """Return the number of bills that are not yet at the platform."""
        return sum(len(batch) for batch in self._batches.values())

    @property
    def unsecured(self) -> int:
        """Return the number of bills that are only in this host's memory."""
        return sum(holder is None for holder in self._copy_holders.values())

    def unreplicated_runs(self) -> set[str]:
        """Return the runs whose bills would be lost if this host crashed now."""
        return {run for run in self._copy_holders if not self._is_replicated(run)}

    def check_capacity(self) -> None:
        """Refuse work that must be billed while too many bills are unsettled.

        Raises
        ------
        BillsFullError
        """
        if self.unsettled >= self._max_unsettled:
            raise BillsFullError(
                "too many bills wait for the platform",
                retry_after_s=BILLS_FULL_RETRY_AFTER_S,
            )

    def find(self, request_id: str, customer: str) -> Bill | None:
        """Return a customer's bill for a request that this host answered, or None."""
        unsettled = [
            bill for batch in self._batches.values() for bill in batch.values()
        ]
        for bill in [*unsettled, *self._settled.values()]:
            if bill.request_id == request_id and bill.customer == customer:
                return bill
        return None

    async def make_durable(self, bill: Bill) -> None:
        """Make a bill durable before the last byte of its answer is sent.

        The bill is copied to a peer of the data centre; failing that, the batch is
        settled at the platform; failing that, it is copied to a peer of another
        data centre. If none of them is reachable, the bill stays only in this
        host's memory and the answer is sent all the same; `unsecured` counts the
        bill until it is copied or settled.
        """
        fut = self._add_and_copy(bill)
        await asyncio.shield(fut)

    def _add_and_copy(self, bill: Bill) -> asyncio.Future[None]:
        return self._queue_copy(self._add_to_batch(bill), bill)

    def _queue_copy(self, number: int, bill: Bill) -> asyncio.Future[None]:
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._pending_copies.append((number, bill, fut))
        if self._copy_task is None or self._copy_task.done():
            self._copy_task = asyncio.create_task(self._copy_pending())
        return fut

    def _add_to_batch(self, bill: Bill) -> int:
        """Add a bill to the open batch, or update it there; return the batch number."""
        open_batch = self._batches[self._open_number]
        if bill.run not in open_batch and len(open_batch) >= BATCH_BILLS_MAX:
            self._open_next_batch()
        self._batches[self._open_number][bill.run] = bill
        self._copy_holders.setdefault(bill.run, None)
        return self._open_number

    def _open_next_batch(self) -> None:
        self._open_number += 1
        self._batches[self._open_number] = {}

    async def _copy_pending(self) -> None:
        while self._pending_copies:
            pending = self._pending_copies[:COPY_BILLS_MAX]
            del self._pending_copies[:COPY_BILLS_MAX]
            try:
                holder = await self._copy_or_settle(self._copy_message(pending))
                for _, bill, _ in pending:
                    if bill.run in self._copy_holders:
                        self._copy_holders[bill.run] = holder
            finally:
                for _, _, fut in pending:
                    if not fut.done():
                        fut.set_result(None)

    def _copy_message(
        self, pending: list[tuple[int, Bill, asyncio.Future[None]]]
    ) -> CopyMessage:
        bills: dict[int, list[Bill]] = {}
        for number, bill, _ in pending:
            bills.setdefault(number, []).append(bill)
        return CopyMessage(
            self._host_name, self._incarnation, min(self._batches), bills
        )

    async def _copy_or_settle(self, message: CopyMessage) -> tuple[str, int] | None:
        """Copy bills to a peer, or else settle them.

        Return the name and incarnation of the peer that has the copies; None if the
        bills were settled or no peer accepted them.
        """
        holder = await self._copy_to_peer(message, same_data_centre=True)
        if holder is not None:
            return holder
        try:
            await self._settle_all()
        except RadishshiftError as exc:
            logger.warning("bills were not settled: {}", exc.message)
        else:
            return None
        holder = await self._copy_to_peer(message, same_data_centre=False)
        if holder is None:
            logger.error(
                "bills are only in this host's memory: no peer accepted a copy"
            )
        return holder

    async def _copy_to_peer(
        self, message: CopyMessage, same_data_centre: bool
    ) -> tuple[str, int] | None:
        if self._peers is None:
            return None
        me = self._peers.me
        now = self._clock.now()
        hosts = [
            host
            for host in self._peers.live()
            if (host.data_centre == me.data_centre) is same_data_centre
            and self._cooldown_until.get(host.name, 0.0) <= now
        ]
        hosts.sort(key=lambda host: (host.name <= me.name, host.name))
        data = msgspec.json.encode(message)
        for host in hosts[:COPY_PEERS_TRIED_MAX]:
            try:
                deadline = self._clock.now() + COPY_TIMEOUT_S
                await self._peers.call(host.name, BILL_TOPIC, data, deadline)
                return host.name, host.incarnation
            except RadishshiftError as exc:
                logger.warning(
                    "host {} did not accept copies of bills: {}", host.name, exc.message
                )
                self._cooldown_until[host.name] = self._clock.now() + PEER_COOLDOWN_S
        return None

    async def flush(self) -> None:
        """Settle all bills collected so far; on failure copy those without a copy.

        Raises
        ------
        PlatformUnavailableError
            The bills stay queued; the next call tries again.
        """
        try:
            await self._settle_all()
        except RadishshiftError:
            self._recopy_unreplicated()
            raise

    def _recopy_unreplicated(self) -> None:
        """Queue copies of the bills that no live peer has."""
        queued = {bill.run for _, bill, _ in self._pending_copies}
        for number, batch in self._batches.items():
            for run, bill in batch.items():
                if run not in queued and not self._is_replicated(run):
                    self._queue_copy(number, bill)

    def _is_replicated(self, run: str) -> bool:
        holder = self._copy_holders.get(run)
        return self._peers is not None and any(
            (host.name, host.incarnation) == holder for host in self._peers.live()
        )

    async def _settle_all(self) -> None:
        async with self._settle_lock:
            while await self._settle_up_to(self._open_number):
                continue

    async def _settle_up_to(self, last_number: int) -> bool:
        """Settle the batches up to a number.

        Tell whether bills were carried over to a later batch.
        """
        carried_over = False
        for number in sorted(self._batches):
            if number < last_number:
                carried_over |= await self._settle_batch(number)
        # A settled batch never changes, so the open one is closed first.
        if self._batches[last_number] and last_number == self._open_number:
            self._open_next_batch()
        if last_number < self._open_number:
            carried_over |= await self._settle_batch(last_number)
        return carried_over

    async def _settle_batch(self, number: int) -> bool:
        batch = self._batches[number]
        name = f"{self._host_name}-{self._incarnation}-{number}"
        stored = await store_bills(self._platform, name, batch.values())
        del self._batches[number]
        carried_over = False
        for run, bill in batch.items():
            if stored.get(run, -1) < len(bill.items):
                self._add_and_copy(bill)
                carried_over = True
            else:
                self._cache_settled(bill)
        return carried_over

    def _cache_settled(self, bill: Bill) -> None:
        self._copy_holders.pop(bill.run, None)
        self._settled[bill.run] = bill
        while len(self._settled) > SETTLED_CACHE_BILLS_MAX:
            self._settled.popitem(last=False)
