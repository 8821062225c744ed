"""The ledger of settled bills: what each customer owes, from all hosts' batches.

Batches are created once and never changed, so every reader sees them in the same
order, that of the platform's revisions. The first batch with a bill for a request
decides which run is charged; bills of other runs are duplicates and charge nothing.
A later bill of the same run replaces an earlier one if it has more items.
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
    """A bill that is not charged because another run of its request is.

    Attributes
    ----------
    bill : Bill
    batch : str
        Name of the batch that contains it.
    """

    bill: Bill
    batch: str


@dataclass(slots=True)
class Ledger:
    """Charged bills and duplicates.

    Attributes
    ----------
    bills : dict
        Charged bills, by customer and request id.
    duplicates : list of Duplicate
        Bills of further runs of a request; the operator bears their cost.
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
    """Return the ledger of a set of batches, given in any order."""
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
