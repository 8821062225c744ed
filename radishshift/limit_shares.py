"""Splits customers' limits among the hosts of a data centre by demand.

A data centre's share is its fraction of a customer's limit. Of that, each host has a
part; its parts of all of a customer's limits are its allowance for the customer.

Each host publishes the demand of its customers by gossip. Every host computes its own
parts from the table of all demand as it was some seconds ago. By then the table has
reached all hosts, so that the parts add up to the data centre's share of the limit.
Nothing is sent while demand stays about the same.

A row is `host|customer` with `[requests a second, tokens a second, running]`; the row
`*|data centre` holds the data centre's shares as `{customer: share}`.
"""

import math
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Annotated, Any

import msgspec

from radishshift.contracts import Limits
from radishshift.gossip_section import GossipSection, Row
from radishshift.hosts import Host

__all__ = ["DEMAND_WINDOW_S", "UNLIMITED", "Allowance", "Demand", "LimitShares"]

UNLIMITED = 1e9  # rates of at least this are not enforced
PROPAGATION_BASE_S = 1.0
PROPAGATION_S_PER_DOUBLING = 0.75
OVERLOAD_EVEN_SHARE = 0.02
SPARE_EVEN_SHARE = 0.5
DEMAND_WINDOW_S = 8.0
RECENT_WINDOW_S = 2.0
CHANGE_MIN_SHARE = 0.2
NOISE_DEVIATIONS = 2.0
NOISE_REQUESTS_PER_S_MIN = 0.1
CHANGE_MIN_AMOUNTS = (0.3, 100.0, 2.0)  # in the order of `Demand.values`
HOST_GONE_S = 30.0
PUBLISH_INTERVAL_MIN_S = 3.0
VERSIONS_PER_S = 10  # a row's version is its time in tenths of a second
SHARE_ORIGIN = "*"

_Amount = Annotated[float, msgspec.Meta(ge=0, le=1e12)]
_DemandRow = tuple[_Amount, _Amount, _Amount]
_SharesRow = dict[str, Annotated[float, msgspec.Meta(ge=0, le=1)]]


@dataclass(frozen=True, slots=True)
class Demand:
    """What a customer requests, whether granted or not.

    Attributes
    ----------
    requests_per_s, tokens_per_s, running : float
    """

    requests_per_s: float = 0.0
    tokens_per_s: float = 0.0
    running: float = 0.0

    def values(self) -> tuple[float, float, float]:
        """Return the amounts in the order of a row."""
        return (self.requests_per_s, self.tokens_per_s, self.running)


@dataclass(frozen=True, slots=True)
class Allowance:
    """Parts of a customer's limits that one host may grant."""

    requests_per_s: float
    tokens_per_s: float
    concurrency: float


@dataclass(slots=True)
class _RowHistory:
    """Recent values of a row, each with the time of its publication."""

    values: deque[tuple[float, Any]] = field(default_factory=deque)

    def at(self, instant: float) -> Any:
        """Return the value in force at an instant, or None."""
        while len(self.values) > 1 and self.values[1][0] <= instant:
            self.values.popleft()
        if not self.values or self.values[0][0] > instant:
            return None
        return self.values[0][1]


class LimitShares:
    """Computes this host's allowances.

    Parameters
    ----------
    me : Host

    Attributes
    ----------
    section : GossipSection
        Section of gossip messages; to be registered with `Peers`.
    """

    def __init__(self, me: Host) -> None:
        self.section = GossipSection("limits", me, on_row=self._receive_row)
        self._me = me
        self._published: dict[str, tuple[float, Demand]] = {}
        self._histories: dict[str, _RowHistory] = {}
        self._seen_at: dict[str, float] = {me.name: math.inf}
        self._table: dict[str, dict[str, tuple[float, ...]]] = {}
        self._allowances: dict[str, Allowance] = {}
        self._host_count = 1
        self._data_centre_count = 1

    def update(
        self,
        demands: Mapping[str, Demand],
        recent: Mapping[str, Demand],
        limits: Mapping[str, Limits],
        live: Iterable[Host],
        now: float,
    ) -> None:
        """Publish changed demand and recompute the allowances.

        Parameters
        ----------
        demands, recent : mapping of str to Demand
            By customer, at this host, averaged over `DEMAND_WINDOW_S` and over
            `RECENT_WINDOW_S`.
        limits : mapping of str to Limits
            Customers' total limits.
        live : iterable of Host
            The other live hosts, of all data centres.
        now : float
        """
        self._update_hosts(list(live), now)
        for customer, demand in demands.items():
            self._publish(customer, demand, recent[customer], now)
        propagation_s = PROPAGATION_BASE_S + PROPAGATION_S_PER_DOUBLING * math.log2(
            self._host_count + 1
        )
        self._read_table(now - propagation_s)
        shares = self._shares(now - propagation_s)
        self._allowances = {
            customer: self._allowance(customer, limit, shares)
            for customer, limit in limits.items()
            if customer in self._table or customer in shares
        }

    def allowance(self, customer: str, limits: Limits) -> Allowance:
        """Return what this host may grant a customer."""
        current = self._allowances.get(customer)
        if current is not None:
            return current
        part = 1 / (self._host_count * self._data_centre_count)
        return Allowance(
            limits.requests_per_s * part,
            limits.tokens_per_s * part,
            limits.concurrency * part,
        )

    def total_demand(self) -> dict[str, Demand]:
        """Return the total demand in the data centre, by customer."""
        return {
            customer: Demand(
                *(sum(amounts) for amounts in zip(*rows.values(), strict=True))
            )
            for customer, rows in self._table.items()
        }

    def publish_shares(self, shares: Mapping[str, float], now: float) -> None:
        """Publish the data centre's shares, as stored at the platform, to its hosts."""
        origin = f"{SHARE_ORIGIN}|{self._me.data_centre}"
        current = self.section.rows.get(origin)
        if current is None or current.value != shares:
            self._publish_row(origin, dict(shares), now)

    def _update_hosts(self, live: list[Host], now: float) -> None:
        """Update the set of hosts that share the limits.

        A host that disappeared keeps its part for `HOST_GONE_S`. While this host sees
        no majority of the known hosts it is assumed to be partitioned and removes none:
        if it took over the parts of hosts that still run, the limit would be exceeded.
        """
        self._data_centre_count = len({host.data_centre for host in [*live, self._me]})
        local = {host.name for host in live if host.data_centre == self._me.data_centre}
        for name in local:
            self._seen_at[name] = now
        known = len(self._seen_at)
        if 2 * (len(local) + 1) > known:
            expired = [
                name for name, at in self._seen_at.items() if now - at > HOST_GONE_S
            ]
            for name in expired:
                del self._seen_at[name]
        self._host_count = len(self._seen_at)

    def _publish(
        self, customer: str, demand: Demand, recent: Demand, now: float
    ) -> None:
        """Publish changed demand; a sudden change shows first in the recent average."""
        published_at, published = self._published.get(customer, (-math.inf, Demand()))
        if now - published_at < PUBLISH_INTERVAL_MIN_S:
            return
        if _has_changed(published, recent, RECENT_WINDOW_S):
            changed = recent
        elif _has_changed(published, demand, DEMAND_WINDOW_S):
            changed = demand
        else:
            return
        rounded = Demand(*(float(f"{amount:.3g}") for amount in changed.values()))
        self._published[customer] = (now, rounded)
        self._publish_row(f"{self._me.name}|{customer}", rounded.values(), now)

    def _publish_row(self, origin: str, value: Any, now: float) -> None:
        current = self.section.rows.get(origin)
        version = max(
            int(now * VERSIONS_PER_S), 0 if current is None else current.version + 1
        )
        self.section.merge_row(origin, version, value, self._me.name, now)

    def _receive_row(self, origin: str, row: Row, now: float) -> None:
        row_type = _SharesRow if origin.startswith(SHARE_ORIGIN) else _DemandRow
        try:
            value = msgspec.convert(row.value, row_type)
        except msgspec.ValidationError:
            return
        history = self._histories.setdefault(origin, _RowHistory())
        history.values.append((row.version / VERSIONS_PER_S, value))

    def _read_table(self, instant: float) -> None:
        self._table = {}
        for origin, history in list(self._histories.items()):
            host, _, customer = origin.partition("|")
            if host == SHARE_ORIGIN:
                continue
            if host not in self._seen_at:
                self.section.forget(origin)
                del self._histories[origin]
                continue
            amounts = history.at(instant)
            if amounts is not None:
                self._table.setdefault(customer, {})[host] = amounts

    def _shares(self, instant: float) -> Mapping[str, float]:
        history = self._histories.get(f"{SHARE_ORIGIN}|{self._me.data_centre}")
        if history is None:
            return {}
        return history.at(instant) or {}

    def _allowance(
        self, customer: str, limits: Limits, shares: Mapping[str, float]
    ) -> Allowance:
        share = shares.get(customer, 1 / self._data_centre_count)
        rows = self._table.get(customer, {})
        own_row = rows.get(self._me.name, (0.0, 0.0, 0.0))
        totals = list(map(sum, zip(*rows.values(), strict=True))) or [0.0] * 3
        full_limits = (limits.requests_per_s, limits.tokens_per_s, limits.concurrency)
        parts = [
            _part(own, total, limit * share, self._host_count)
            for own, total, limit in zip(own_row, totals, full_limits, strict=True)
        ]
        return Allowance(*parts)


def _has_changed(old: Demand, new: Demand, window_s: float) -> bool:
    """Return whether demand has changed by more than random variation explains."""
    requests = max(old.requests_per_s, new.requests_per_s, NOISE_REQUESTS_PER_S_MIN)
    noise = NOISE_DEVIATIONS / math.sqrt(2 * window_s * requests)
    share = max(CHANGE_MIN_SHARE, noise)
    pairs = zip(old.values(), new.values(), CHANGE_MIN_AMOUNTS, strict=True)
    return any(
        abs(after - before) > max(share * max(before, after), least)
        for before, after, least in pairs
    )


def _part(own: float, total: float, limit: float, hosts: int) -> float:
    """Return one host's part of a limit; the parts of all hosts add up to it.

    If demand exceeds the limit, a small share is split evenly and the rest in
    proportion to demand. Otherwise each host gets its own demand; a share of the unused
    limit is split evenly, and the rest in proportion to demand.
    """
    if total > limit:
        floor = OVERLOAD_EVEN_SHARE * limit / hosts
        return floor + (1 - OVERLOAD_EVEN_SHARE) * limit * own / total
    spare = limit - total
    by_demand = own / total if total > 0 else 0.0
    even_share = SPARE_EVEN_SHARE if total > 0 else 1.0
    return own + spare * (even_share / hosts + (1 - even_share) * by_demand)
