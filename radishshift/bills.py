"""Bills: one for each request, with an item for each attempt.

A host gathers its bills in batches, numbered from 0 for each incarnation, and
settles each as one object named `HOST-INCARNATION-NUMBER`, created if absent.
Before the last byte of an answer leaves, its bill is safe: a copy is with a peer,
see `bill_copies`, or the batch is at the platform.
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

OPEN_BILLS_MAX = 50_000
BATCH_BILLS_MAX = 500
SETTLED_SHOWN_MAX = 10_000
COPY_BILLS_MAX = 200
COPY_ANSWER_S = 0.5
PEER_AVOIDED_S = 5.0
PEERS_TRIED = 2
FULL_RETRY_AFTER_S = 5.0
BILL_TOPIC = "bills"

logger = logbook.Logger("bills")


def _new_run() -> str:
    return uuid.uuid4().hex


@dataclass(frozen=True, slots=True)
class BillItem:
    """One attempt on a bill.

    Attributes
    ----------
    served_by : str
        Version or service.
    endpoint : str
    prompt_tokens, completion_tokens : int
    cost : int
        What the customer pays, in billionths of the currency unit.
    operator_cost : int
        What a failed attempt may have cost and the customer does not pay, in
        billionths of the currency unit.
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
        Of the one run of the request that this bill is about; a resend through
        another host makes a bill with another run.
    """

    request_id: str
    customer: str
    items: list[BillItem] = field(default_factory=list)
    run: str = field(default_factory=_new_run)

    @property
    def cost(self) -> int:
        """Return the sum of the items in billionths of the currency unit."""
        return sum(item.cost for item in self.items)


class CopyMessage(msgspec.Struct):
    """Bills of open batches as a peer gets them.

    Attributes
    ----------
    host : str
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
    """Create a batch unless it exists; return the items of each run it then holds.

    Raises
    ------
    PlatformUnavailableError
    """
    spec = {"bills": msgspec.to_builtins(list(bills))}
    item = StoredObject(Kind.BILL_BATCH, name, spec)
    try:
        held = await platform.create(item)
    except AlreadyExistsError:
        held = await platform.get(Kind.BILL_BATCH, name)
    except PlatformUnavailableError as exc:
        if exc.verdict is Verdict.NOT_RUN:
            raise
        held = await _read_back(platform, name, exc)
    return {bill["run"]: len(bill["items"]) for bill in held.spec["bills"]}


async def _read_back(
    platform: Platform, name: str, cause: PlatformUnavailableError
) -> StoredObject:
    try:
        return await platform.get(Kind.BILL_BATCH, name)
    except NotFoundError as exc:
        raise cause from exc


class Biller:
    """Collects bills, makes them safe and settles them at the platform.

    Parameters
    ----------
    platform : Platform
    clock : Clock
    host_name : str
    incarnation : int
    peers : Peers or None
    bound : int
        Bills that may be unsettled before work that must be billed is refused.

    """

    def __init__(
        self,
        platform: Platform,
        clock: Clock,
        host_name: str,
        incarnation: int,
        peers: Peers | None = None,
        bound: int = OPEN_BILLS_MAX,
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._host_name = host_name
        self._incarnation = incarnation
        self._peers = peers
        self._bound = bound
        self._number = 0
        self._batches: dict[int, dict[str, Bill]] = {0: {}}
        self._settled: OrderedDict[str, Bill] = OrderedDict()
        self._settling = asyncio.Lock()
        self._uncopied: list[tuple[int, Bill, asyncio.Future[None]]] = []
        self._copying: asyncio.Task[None] | None = None
        self._holders: dict[str, tuple[str, int] | None] = {}
        self._avoided: dict[str, float] = {}

    @property
    def unsettled(self) -> int:
        """Return the number of bills that are not yet at the platform."""
        return sum(len(batch) for batch in self._batches.values())

    @property
    def unsecured(self) -> int:
        """Return the number of bills that are in this host's memory alone."""
        return sum(holder is None for holder in self._holders.values())

    def unreplicated_runs(self) -> set[str]:
        """Return the runs whose bills would be lost if this host died now."""
        return {run for run in self._holders if not self._is_held(run)}

    def check_capacity(self) -> None:
        """Refuse work that must be billed while too many bills are unsettled.

        Raises
        ------
        BillsFullError
        """
        if self.unsettled >= self._bound:
            raise BillsFullError(
                "too many bills wait for the platform",
                retry_after_s=FULL_RETRY_AFTER_S,
            )

    def find(self, request_id: str, customer: str) -> Bill | None:
        """Return a customer's bill for a request that this host answered."""
        held = [bill for batch in self._batches.values() for bill in batch.values()]
        for bill in [*held, *self._settled.values()]:
            if bill.request_id == request_id and bill.customer == customer:
                return bill
        return None

    async def make_durable(self, bill: Bill) -> None:
        """Make a bill safe; the answer's last byte leaves after this returns.

        A copy goes to a peer of the data centre, else the batch to the platform,
        else a copy to a peer elsewhere. With none of them in reach the bill stays
        in this host's memory, the answer leaves, and `unsecured` counts it until
        that changes.
        """
        fut = self._add(bill)
        await asyncio.shield(fut)

    def _add(self, bill: Bill) -> asyncio.Future[None]:
        return self._queue_copy(self._place(bill), bill)

    def _queue_copy(self, number: int, bill: Bill) -> asyncio.Future[None]:
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._uncopied.append((number, bill, fut))
        if self._copying is None or self._copying.done():
            self._copying = asyncio.create_task(self._copy())
        return fut

    def _place(self, bill: Bill) -> int:
        """Put a bill into a batch, unless it is in one that is not yet sent."""
        open_batch = self._batches[self._number]
        if bill.run not in open_batch and len(open_batch) >= BATCH_BILLS_MAX:
            self._open_next()
        self._batches[self._number][bill.run] = bill
        self._holders.setdefault(bill.run, None)
        return self._number

    def _open_next(self) -> None:
        self._number += 1
        self._batches[self._number] = {}

    async def _copy(self) -> None:
        while self._uncopied:
            part = self._uncopied[:COPY_BILLS_MAX]
            del self._uncopied[:COPY_BILLS_MAX]
            try:
                holder = await self._make_safe(self._message(part))
                for _, bill, _ in part:
                    if bill.run in self._holders:
                        self._holders[bill.run] = holder
            finally:
                for _, _, fut in part:
                    if not fut.done():
                        fut.set_result(None)

    def _message(
        self, part: list[tuple[int, Bill, asyncio.Future[None]]]
    ) -> CopyMessage:
        bills: dict[int, list[Bill]] = {}
        for number, bill, _ in part:
            bills.setdefault(number, []).append(bill)
        return CopyMessage(
            self._host_name, self._incarnation, min(self._batches), bills
        )

    async def _make_safe(self, message: CopyMessage) -> tuple[str, int] | None:
        """Copy or settle bills; return the host that holds the copies, if any."""
        holder = await self._copy_to_peer(message, near=True)
        if holder is not None:
            return holder
        try:
            await self._settle_all()
        except RadishshiftError as exc:
            logger.warning("bills were not settled: {}", exc.message)
        else:
            return None
        holder = await self._copy_to_peer(message, near=False)
        if holder is None:
            logger.error("bills are in this host's memory alone")
        return holder

    async def _copy_to_peer(
        self, message: CopyMessage, near: bool
    ) -> tuple[str, int] | None:
        if self._peers is None:
            return None
        me = self._peers.me
        now = self._clock.now()
        hosts = [
            host
            for host in self._peers.live()
            if (host.data_centre == me.data_centre) is near
            and self._avoided.get(host.name, 0.0) <= now
        ]
        hosts.sort(key=lambda host: (host.name <= me.name, host.name))
        data = msgspec.json.encode(message)
        for host in hosts[:PEERS_TRIED]:
            try:
                deadline = self._clock.now() + COPY_ANSWER_S
                await self._peers.call(host.name, BILL_TOPIC, data, deadline)
                return host.name, host.incarnation
            except RadishshiftError as exc:
                logger.warning("{} took no copy of bills: {}", host.name, exc.message)
                self._avoided[host.name] = self._clock.now() + PEER_AVOIDED_S
        return None

    async def flush(self) -> None:
        """Settle the bills of this moment, and copy those that have no copy.

        Raises
        ------
        PlatformUnavailableError
            Nothing is lost; the next call goes on.
        """
        try:
            await self._settle_all()
        except RadishshiftError:
            self._copy_again()
            raise

    def _copy_again(self) -> None:
        """Copy the bills whose holder is gone."""
        waiting = {bill.run for _, bill, _ in self._uncopied}
        for number, batch in self._batches.items():
            for run, bill in batch.items():
                if run not in waiting and not self._is_held(run):
                    self._queue_copy(number, bill)

    def _is_held(self, run: str) -> bool:
        holder = self._holders.get(run)
        return self._peers is not None and any(
            (host.name, host.incarnation) == holder for host in self._peers.live()
        )

    async def _settle_all(self) -> None:
        async with self._settling:
            while await self._settle_upto(self._number):
                continue

    async def _settle_upto(self, last: int) -> bool:
        """Settle batches; tell whether bills were carried over to a later one."""
        carried = False
        for number in sorted(self._batches):
            if number < last:
                carried |= await self._settle(number)
        if self._batches[last] and last == self._number:
            self._open_next()
        if last < self._number:
            carried |= await self._settle(last)
        return carried

    async def _settle(self, number: int) -> bool:
        batch = self._batches[number]
        name = f"{self._host_name}-{self._incarnation}-{number}"
        stored = await store_bills(self._platform, name, batch.values())
        del self._batches[number]
        carried = False
        for run, bill in batch.items():
            if stored.get(run, -1) < len(bill.items):
                self._add(bill)
                carried = True
            else:
                self._show(bill)
        return carried

    def _show(self, bill: Bill) -> None:
        self._holders.pop(bill.run, None)
        self._settled[bill.run] = bill
        while len(self._settled) > SETTLED_SHOWN_MAX:
            self._settled.popitem(last=False)
