"""A host's part of its customers' limits, which follows demand.

Each host publishes what its customers ask for. Every host works out its own part from
the table as it was some seconds ago, when all had heard the same, so that the parts
add up to the data centre's allowance. Nothing is sent while demand stays about the
same.

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
from radishshift.epidemic import EpidemicSection, Row
from radishshift.hosts import Host

__all__ = ["DEMAND_WINDOW_S", "UNLIMITED", "Allowance", "Demand", "LimitShares"]

UNLIMITED = 1e9
SPREAD_BASE_S = 1.0
SPREAD_STEP_S = 0.75
FLOOR_SHARE = 0.02
EVEN_SHARE = 0.5
DEMAND_WINDOW_S = 8.0
RECENT_WINDOW_S = 2.0
CHANGE_SHARE = 0.2
CHANCE_DEVIATIONS = 2.0
RATE_LEAST = 0.1
CHANGE_LEAST = (0.3, 100.0, 2.0)
GONE_S = 30.0
NEWS_PAUSE_S = 3.0
TICKS_PER_S = 10
SHARE_ORIGIN = "*"

_Amount = Annotated[float, msgspec.Meta(ge=0, le=1e12)]
_DemandRow = tuple[_Amount, _Amount, _Amount]
_SharesRow = dict[str, Annotated[float, msgspec.Meta(ge=0, le=1)]]


@dataclass(frozen=True, slots=True)
class Demand:
    """What a customer asks for, be it granted or not.

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
    """What one host may grant a customer."""

    requests_per_s: float
    tokens_per_s: float
    concurrency: float


@dataclass(slots=True)
class _Past:
    """What a row said of late, each value with the instant of its publication."""

    values: deque[tuple[float, Any]] = field(default_factory=deque)

    def at(self, instant: float) -> Any:
        """Return the value that held at an instant, or None."""
        while len(self.values) > 1 and self.values[1][0] <= instant:
            self.values.popleft()
        if not self.values or self.values[0][0] > instant:
            return None
        return self.values[0][1]


class LimitShares:
    """Works out this host's allowances.

    Parameters
    ----------
    me : Host

    Attributes
    ----------
    section : EpidemicSection
        To be carried by `Peers`.
    """

    def __init__(self, me: Host) -> None:
        self.section = EpidemicSection("limits", me, on_row=self._note)
        self._me = me
        self._own: dict[str, tuple[float, Demand]] = {}
        self._pasts: dict[str, _Past] = {}
        self._seen_at: dict[str, float] = {me.name: math.inf}
        self._table: dict[str, dict[str, tuple[float, ...]]] = {}
        self._allowances: dict[str, Allowance] = {}
        self._hosts = 1
        self._data_centres = 1

    def step(
        self,
        demands: Mapping[str, Demand],
        recent: Mapping[str, Demand],
        limits: Mapping[str, Limits],
        live: Iterable[Host],
        now: float,
    ) -> None:
        """Publish what has changed and work out the allowances anew.

        Parameters
        ----------
        demands, recent : mapping of str to Demand
            By customer, at this host, over `DEMAND_WINDOW_S` and `RECENT_WINDOW_S`.
        limits : mapping of str to Limits
            Over all hosts, by customer.
        live : iterable of Host
            The other hosts, of all data centres.
        now : float
        """
        self._see(list(live), now)
        for customer, demand in demands.items():
            self._publish(customer, demand, recent[customer], now)
        spread_s = SPREAD_BASE_S + SPREAD_STEP_S * math.log2(self._hosts + 1)
        self._read_table(now - spread_s)
        shares = self._shares(now - spread_s)
        self._allowances = {
            customer: self._allowance(customer, limit, shares)
            for customer, limit in limits.items()
            if customer in self._table or customer in shares
        }

    def allowance(self, customer: str, limits: Limits) -> Allowance:
        """Return what this host may grant a customer."""
        held = self._allowances.get(customer)
        if held is not None:
            return held
        part = 1 / (self._hosts * self._data_centres)
        return Allowance(
            limits.requests_per_s * part,
            limits.tokens_per_s * part,
            limits.concurrency * part,
        )

    def total_demand(self) -> dict[str, Demand]:
        """Return the demand of the data centre, by customer."""
        return {
            customer: Demand(
                *(sum(amounts) for amounts in zip(*rows.values(), strict=True))
            )
            for customer, rows in self._table.items()
        }

    def publish_shares(self, shares: Mapping[str, float], now: float) -> None:
        """Tell the data centre's hosts its shares, as the platform holds them."""
        origin = f"{SHARE_ORIGIN}|{self._me.data_centre}"
        held = self.section.rows.get(origin)
        if held is None or held.value != shares:
            self._take(origin, dict(shares), now)

    def _see(self, live: list[Host], now: float) -> None:
        """Note who is there; who vanished counts for a while, or if most did."""
        self._data_centres = len({host.data_centre for host in [*live, self._me]})
        near = {host.name for host in live if host.data_centre == self._me.data_centre}
        for name in near:
            self._seen_at[name] = now
        known = len(self._seen_at)
        if 2 * (len(near) + 1) > known:
            gone = [name for name, at in self._seen_at.items() if now - at > GONE_S]
            for name in gone:
                del self._seen_at[name]
        self._hosts = len(self._seen_at)

    def _publish(
        self, customer: str, demand: Demand, recent: Demand, now: float
    ) -> None:
        """Publish a demand that has changed; a leap shows in the recent one first."""
        published_at, published = self._own.get(customer, (-math.inf, Demand()))
        if now - published_at < NEWS_PAUSE_S:
            return
        if _differs(published, recent, RECENT_WINDOW_S):
            news = recent
        elif _differs(published, demand, DEMAND_WINDOW_S):
            news = demand
        else:
            return
        rounded = Demand(*(float(f"{amount:.3g}") for amount in news.values()))
        self._own[customer] = (now, rounded)
        self._take(f"{self._me.name}|{customer}", rounded.values(), now)

    def _take(self, origin: str, value: Any, now: float) -> None:
        held = self.section.rows.get(origin)
        version = max(int(now * TICKS_PER_S), 0 if held is None else held.version + 1)
        self.section.take(origin, version, value, self._me.name, now)

    def _note(self, origin: str, row: Row, now: float) -> None:
        kind = _SharesRow if origin.startswith(SHARE_ORIGIN) else _DemandRow
        try:
            value = msgspec.convert(row.value, kind)
        except msgspec.ValidationError:
            return
        past = self._pasts.setdefault(origin, _Past())
        past.values.append((row.version / TICKS_PER_S, value))

    def _read_table(self, instant: float) -> None:
        self._table = {}
        for origin, past in list(self._pasts.items()):
            host, _, customer = origin.partition("|")
            if host == SHARE_ORIGIN:
                continue
            if host not in self._seen_at:
                self.section.forget(origin)
                del self._pasts[origin]
                continue
            amounts = past.at(instant)
            if amounts is not None:
                self._table.setdefault(customer, {})[host] = amounts

    def _shares(self, instant: float) -> Mapping[str, float]:
        past = self._pasts.get(f"{SHARE_ORIGIN}|{self._me.data_centre}")
        if past is None:
            return {}
        return past.at(instant) or {}

    def _allowance(
        self, customer: str, limits: Limits, shares: Mapping[str, float]
    ) -> Allowance:
        share = shares.get(customer, 1 / self._data_centres)
        rows = self._table.get(customer, {})
        mine = rows.get(self._me.name, (0.0, 0.0, 0.0))
        totals = list(map(sum, zip(*rows.values(), strict=True))) or [0.0] * 3
        wholes = (limits.requests_per_s, limits.tokens_per_s, limits.concurrency)
        parts = [
            _part(own, total, whole * share, self._hosts)
            for own, total, whole in zip(mine, totals, wholes, strict=True)
        ]
        return Allowance(*parts)


def _differs(old: Demand, new: Demand, over_s: float) -> bool:
    """Tell whether demand has changed by more than chance makes it."""
    requests = max(old.requests_per_s, new.requests_per_s, RATE_LEAST)
    chance = CHANCE_DEVIATIONS / math.sqrt(2 * over_s * requests)
    share = max(CHANGE_SHARE, chance)
    pairs = zip(old.values(), new.values(), CHANGE_LEAST, strict=True)
    return any(
        abs(after - before) > max(share * max(before, after), least)
        for before, after, least in pairs
    )


def _part(mine: float, total: float, whole: float, hosts: int) -> float:
    """Return one host's part of an allowance; those of all add up to it."""
    if total > whole:
        floor = FLOOR_SHARE * whole / hosts
        return floor + (1 - FLOOR_SHARE) * whole * mine / total
    spare = whole - total
    by_demand = mine / total if total > 0 else 0.0
    even = EVEN_SHARE if total > 0 else 1.0
    return mine + spare * (even / hosts + (1 - even) * by_demand)
