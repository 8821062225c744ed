"""The settled ledger: what each customer owes, from the batches of all hosts.

Batches are created once and never changed, so the platform's revisions put them in
one order for every reader. The first batch that holds a bill of a request decides
which run of it is charged; later runs are duplicates and charge nothing. A further
bill of the same run replaces the first if it holds more items.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

import msgspec

from radishshift.bills import Bill
from radishshift.objects import Kind, StoredObject
from radishshift.platform import Platform

__all__ = ["Duplicate", "Ledger", "merge_batches", "read_ledger"]


@dataclass(frozen=True, slots=True)
class Duplicate:
    """A bill that charges nothing, as its request is billed already.

    Attributes
    ----------
    bill : Bill
    batch : str
        Where it was found.
    """

    bill: Bill
    batch: str


@dataclass(slots=True)
class Ledger:
    """Bills that are charged, and those that are not.

    Attributes
    ----------
    bills : dict
        By customer and request id.
    duplicates : list of Duplicate
        Runs beyond the first of a request; the operator bears their cost.
    """

    bills: dict[tuple[str, str], Bill] = field(default_factory=dict)
    duplicates: list[Duplicate] = field(default_factory=list)

    def owed(self, customer: str) -> int:
        """Return what a customer owes in billionths of the currency unit."""
        return sum(
            bill.cost for (owner, _), bill in self.bills.items() if owner == customer
        )


def _bills(items: Iterable[StoredObject]) -> Iterator[tuple[str, Bill]]:
    for item in sorted(items, key=lambda item: item.revision):
        for bill in msgspec.convert(item.spec["bills"], list[Bill]):
            yield item.name, bill


def merge_batches(items: Iterable[StoredObject]) -> Ledger:
    """Return the ledger of a set of batches, in whatever order they come."""
    ledger = Ledger()
    for batch, bill in _bills(items):
        key = (bill.customer, bill.request_id)
        charged = ledger.bills.setdefault(key, bill)
        if charged.run != bill.run:
            ledger.duplicates.append(Duplicate(bill, batch))
        elif len(bill.items) > len(charged.items):
            ledger.bills[key] = bill
    return ledger


async def read_ledger(platform: Platform) -> Ledger:
    """Return the ledger of all batches at the platform.

    Raises
    ------
    PlatformUnavailableError
    """
    listing = await platform.list_all(Kind.BILL_BATCH)
    return merge_batches(listing.items)
