"""Bills: one for each request, with an item for each attempt."""

from dataclasses import dataclass, field

import msgspec

from radishshift.errors import AlreadyExistsError, NotFoundError
from radishshift.objects import Kind, StoredObject
from radishshift.platform import Platform

__all__ = ["Bill", "BillItem", "Biller"]


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
        In billionths of the currency unit.
    """

    served_by: str
    endpoint: str
    prompt_tokens: int
    completion_tokens: int
    cost: int


@dataclass(slots=True)
class Bill:
    """What a customer owes for one request."""

    request_id: str
    customer: str
    items: list[BillItem] = field(default_factory=list)

    @property
    def cost(self) -> int:
        """Return the sum of the items in billionths of the currency unit."""
        return sum(item.cost for item in self.items)


class Biller:
    """Collects bills and settles them at the platform.

    Parameters
    ----------
    platform : Platform
    host_name : str
    incarnation : int
    """

    def __init__(self, platform: Platform, host_name: str, incarnation: int) -> None:
        self._platform = platform
        self._prefix = f"{host_name}-{incarnation}"
        self._number = 0
        self._open: dict[str, Bill] = {}
        self._settled: dict[str, Bill] = {}

    def find(self, request_id: str) -> Bill | None:
        """Return the bill of a request that this host answered."""
        return self._open.get(request_id) or self._settled.get(request_id)

    async def secure(self, bill: Bill) -> None:
        """Make a bill safe; the answer's last byte leaves after this returns."""
        self._open[bill.request_id] = bill

    async def flush(self) -> None:
        """Settle the open bills at the platform."""
        if not self._open:
            return
        bills = list(self._open.values())
        name = f"{self._prefix}-{self._number}"
        spec = {"bills": msgspec.to_builtins(bills)}
        try:
            await self._platform.create(StoredObject(Kind.BILL_BATCH, name, spec))
        except AlreadyExistsError:
            await self._read_back(name)
        self._number += 1
        for bill in bills:
            self._settled[bill.request_id] = self._open.pop(bill.request_id)

    async def _read_back(self, name: str) -> None:
        held = await self._platform.get(Kind.BILL_BATCH, name)
        if not held.spec.get("bills"):
            raise NotFoundError(f"batch {name} holds no bills")
