"""Splits customers' limits among data centres, through an object at the platform.

The object holds for each data centre an expiry, its demand as a fraction of each
limit, and its share. A data centre changes only its own entry, in a write conditional
on the revision it read: it may lower its share freely, and raise it only by the part
that no other data centre holds. So the shares never add up to more than the limit. A
data centre that is cut off from the platform keeps its last share, which the others
don't take before its expiry.
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

OBJECT_NAME = "limits"
SHARE_EXPIRY_S = 30.0
WRITE_ATTEMPTS = 4
EVEN_WEIGHT = 0.1  # part of a limit that is split evenly rather than by demand
CHANGE_MIN_SHARE = 0.07

_Fraction = Annotated[float, msgspec.Meta(ge=0)]


class _Entry(msgspec.Struct):
    expires: float = 0.0
    demand: dict[str, _Fraction] = {}
    share: dict[str, _Fraction] = {}


class _Spec(msgspec.Struct, rename="camel"):
    data_centres: dict[str, _Entry] = {}


class DataCentreShares:
    """Renews the shares of one data centre.

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
        """Publish the demand and return the new shares, by customer.

        Raises
        ------
        PlatformUnavailableError
            The previous shares stay in force.
        ConflictError
            Every attempt lost a race against another writer.
        """
        demand_fractions = {
            customer: round(_demand_fraction(demand, limits[customer]), 4)
            for customer, demand in demands.items()
            if customer in limits
        }
        names = sorted({*data_centres, self._data_centre})
        for _ in range(WRITE_ATTEMPTS - 1):
            try:
                return await self._renew_once(demand_fractions, names, now)
            except (ConflictError, AlreadyExistsError, NotFoundError):
                continue
        return await self._renew_once(demand_fractions, names, now)

    async def _renew_once(
        self, demand_fractions: dict[str, float], names: list[str], now: float
    ) -> dict[str, float]:
        try:
            item = await self._platform.get(Kind.SHARE, OBJECT_NAME)
            spec = msgspec.convert(item.spec, _Spec)
        except NotFoundError:
            item = StoredObject(Kind.SHARE, OBJECT_NAME)
            spec = _Spec()
        entries = {
            name: entry
            for name, entry in spec.data_centres.items()
            if name == self._data_centre or entry.expires > now
        }
        if not item.revision:
            entries = {name: _Entry(now + SHARE_EXPIRY_S) for name in names}
        own = entries.setdefault(self._data_centre, _Entry())
        has_expired = own.expires <= now and item.revision > 0
        customers = set(demand_fractions).union(
            *(entry.share for entry in entries.values())
        )
        own.share = {
            customer: self._share(
                customer, demand_fractions, entries, names, has_expired
            )
            for customer in sorted(customers)
        }
        own.demand = demand_fractions
        own.expires = now + SHARE_EXPIRY_S
        body = msgspec.to_builtins(_Spec(entries))
        if item.revision:
            await self._platform.update(replace(item, spec=body))
        else:
            await self._platform.create(replace(item, spec=body))
        return own.share

    def _share(
        self,
        customer: str,
        demand_fractions: Mapping[str, float],
        entries: Mapping[str, _Entry],
        names: list[str],
        has_expired: bool,
    ) -> float:
        """Return the new share; it grows only by what no other data centre holds."""
        even_share = 1 / len(names)
        own = demand_fractions.get(customer, 0.0)
        others = [entry for name, entry in entries.items() if name != self._data_centre]
        others_demand = sum(entry.demand.get(customer, 0.0) for entry in others)
        total = own + others_demand
        target = even_share
        if total > 0:
            target = EVEN_WEIGHT * even_share + (1 - EVEN_WEIGHT) * own / total
        # A data centre that has not written yet uses the even share.
        others_share = sum(entry.share.get(customer, even_share) for entry in others)
        free = max(0.0, 1.0 - others_share)
        current = entries[self._data_centre].share.get(customer, even_share)
        if has_expired:
            current = 0.0
        elif abs(target - current) < CHANGE_MIN_SHARE * current and current <= free:
            return current
        return round(min(target, max(free, 0.0)) if target > current else target, 6)


def _demand_fraction(demand: Demand, limits: Limits) -> float:
    """Return demand as a fraction of the most heavily used limit."""
    full_limits = (limits.requests_per_s, limits.tokens_per_s, limits.concurrency)
    return max(
        amount / limit if limit > 0 else 0.0
        for amount, limit in zip(demand.values(), full_limits, strict=True)
    )
