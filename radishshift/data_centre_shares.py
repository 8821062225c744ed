"""Shares that data centres hold of customers' limits, kept at the platform.

One object holds, by data centre, an expiry, its demand as a part of each limit, and
its share. A data centre writes only its own entry, over the revision it read: it may
lower its share at will and raise it by what no one holds. So the shares never add up
to more than the whole. One that is cut off keeps its last share, and the others leave
that alone until its expiry.
"""

from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import Annotated

import msgspec

from radishshift.contracts import Limits
from radishshift.errors import AlreadyExistsError, ConflictError, NotFoundError
from radishshift.limit_shares import Demand
from radishshift.objects import Kind, StoredObject
from radishshift.platform import Platform

__all__ = ["DataCentreShares"]

OBJECT = "limits"
EXPIRY_S = 30.0
TRIES = 4
EVEN_SHARE = 0.1
STEADY_SHARE = 0.07

_Part = Annotated[float, msgspec.Meta(ge=0)]


class _Entry(msgspec.Struct):
    expires: float = 0.0
    demand: dict[str, _Part] = {}
    share: dict[str, _Part] = {}


class _Spec(msgspec.Struct, rename="camel"):
    data_centres: dict[str, _Entry] = {}


class DataCentreShares:
    """Holds the shares of one data centre.

    Parameters
    ----------
    platform : Platform
    data_centre : str
    """

    def __init__(self, platform: Platform, data_centre: str) -> None:
        self._platform = platform
        self._data_centre = data_centre

    async def renew(
        self,
        demands: Mapping[str, Demand],
        limits: Mapping[str, Limits],
        data_centres: Iterable[str],
        now: float,
    ) -> dict[str, float]:
        """Say what is wanted and return the shares held, by customer.

        Raises
        ------
        PlatformUnavailableError
            The share held before stays in force.
        ConflictError
            Others were faster again and again.
        """
        wanted = {
            customer: round(_pressure(demand, limits[customer]), 4)
            for customer, demand in demands.items()
            if customer in limits
        }
        names = sorted({*data_centres, self._data_centre})
        for _ in range(TRIES - 1):
            try:
                return await self._try(wanted, names, now)
            except (ConflictError, AlreadyExistsError, NotFoundError):
                continue
        return await self._try(wanted, names, now)

    async def _try(
        self, wanted: dict[str, float], names: list[str], now: float
    ) -> dict[str, float]:
        try:
            item = await self._platform.get(Kind.SHARE, OBJECT)
            spec = msgspec.convert(item.spec, _Spec)
        except NotFoundError:
            item = StoredObject(Kind.SHARE, OBJECT)
            spec = _Spec()
        entries = {
            name: entry
            for name, entry in spec.data_centres.items()
            if name == self._data_centre or entry.expires > now
        }
        if not item.revision:
            entries = {name: _Entry(now + EXPIRY_S) for name in names}
        mine = entries.setdefault(self._data_centre, _Entry())
        lapsed = mine.expires <= now and item.revision > 0
        customers = set(wanted).union(*(entry.share for entry in entries.values()))
        mine.share = {
            customer: self._share(customer, wanted, entries, names, lapsed)
            for customer in sorted(customers)
        }
        mine.demand = wanted
        mine.expires = now + EXPIRY_S
        body = msgspec.to_builtins(_Spec(entries))
        if item.revision:
            await self._platform.update(replace(item, spec=body))
        else:
            await self._platform.create(replace(item, spec=body))
        return mine.share

    def _share(
        self,
        customer: str,
        wanted: Mapping[str, float],
        entries: Mapping[str, _Entry],
        names: list[str],
        lapsed: bool,
    ) -> float:
        """Return the share to hold, of which no more is new than is free."""
        even = 1 / len(names)
        mine = wanted.get(customer, 0.0)
        others = [entry for name, entry in entries.items() if name != self._data_centre]
        others_want = sum(entry.demand.get(customer, 0.0) for entry in others)
        total = mine + others_want
        target = even
        if total > 0:
            target = EVEN_SHARE * even + (1 - EVEN_SHARE) * mine / total
        # One that has not written yet uses the even share.
        held = sum(entry.share.get(customer, even) for entry in others)
        free = max(0.0, 1.0 - held)
        own = entries[self._data_centre].share.get(customer, even)
        if lapsed:
            own = 0.0
        elif abs(target - own) < STEADY_SHARE * own and own <= free:
            return own
        return round(min(target, max(free, 0.0)) if target > own else target, 6)


def _pressure(demand: Demand, limits: Limits) -> float:
    """Return demand as a part of the limit that binds most."""
    wholes = (limits.requests_per_s, limits.tokens_per_s, limits.concurrency)
    return max(
        amount / whole if whole > 0 else 0.0
        for amount, whole in zip(demand.values(), wholes, strict=True)
    )
