"""Load of all hosts on each endpoint, summed by one host of each data centre.

Load pattern: hundreds of hosts, each of which sends about one prompt a second to
endpoints that all of them use. When each host chooses by reports that are half a second
old, many choose the same endpoint at once; the more complete their reports, the more
of them agree. Therefore one host of a large data centre, its coordinator, chooses for
all: it sees each choice at once, and the sums of the other data centres with a delay.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from radishshift.hosts import widest_first

__all__ = [
    "MIN_COORDINATED_HOSTS",
    "REPORT_MAX_AGE_S",
    "FleetLoad",
    "PlacementQuota",
    "first_coordinator",
]

REPORT_MAX_AGE_S = 2.5  # older reports are ignored
# In smaller data centres hosts choose for themselves: there are few of them, and each
# hears from all others within a second.
MIN_COORDINATED_HOSTS = 8
# Questions that a coordinator answers; each takes half a millisecond of a core. Hosts
# that send more have enough requests of their own to choose by.
MAX_PLACEMENTS_PER_S = 200.0
MIN_LOAD = 1e-6  # less is what rounding leaves of a sum


@dataclass(slots=True)
class _Report:
    at: float
    load: dict[str, float]


@dataclass(slots=True)
class FleetLoad:
    """Load on endpoints by the other hosts, from their latest reports.

    A report replaces the sender's previous one, so that a lost report does no lasting
    harm.
    """

    _reports: dict[str, _Report] = field(default_factory=dict)
    _totals: dict[str, float] = field(default_factory=dict)

    def report(self, sender: str, load: Mapping[str, float], now: float) -> None:
        """Replace the load that a host or another data centre puts on endpoints.

        Parameters
        ----------
        sender : str
            Name of the host or the data centre.
        load : mapping of str to float
            Load by endpoint, in requests in flight.
        """
        self._drop(sender)
        self._reports[sender] = _Report(now, dict(load))
        for endpoint, amount in load.items():
            self._totals[endpoint] = self._totals.get(endpoint, 0.0) + amount

    def add(self, sender: str, endpoint: str, amount: float) -> None:
        """Count a choice made for a host, until that host's next report."""
        report = self._reports.get(sender)
        if report is None:
            return
        report.load[endpoint] = report.load.get(endpoint, 0.0) + amount
        self._totals[endpoint] = self._totals.get(endpoint, 0.0) + amount

    def expire(self, now: float) -> None:
        """Drop the reports that are too old."""
        for sender, report in list(self._reports.items()):
            if now - report.at > REPORT_MAX_AGE_S:
                self._drop(sender)

    def total(self, endpoint: str) -> float:
        """Return the load that all senders put on an endpoint."""
        return self._totals.get(endpoint, 0.0)

    def sum_of(self, senders: Collection[str]) -> dict[str, float]:
        """Return the load by endpoint of some of the senders."""
        sums: dict[str, float] = {}
        for sender in senders:
            report = self._reports.get(sender)
            for endpoint, amount in () if report is None else report.load.items():
                sums[endpoint] = sums.get(endpoint, 0.0) + amount
        return sums

    def _drop(self, sender: str) -> None:
        report = self._reports.pop(sender, None)
        for endpoint, amount in () if report is None else report.load.items():
            left = self._totals.get(endpoint, 0.0) - amount
            if left > MIN_LOAD:
                self._totals[endpoint] = left
            else:
                self._totals.pop(endpoint, None)


@dataclass(slots=True)
class PlacementQuota:
    """Token bucket of one second's questions, which bounds a coordinator's work."""

    per_s: float = MAX_PLACEMENTS_PER_S
    _tokens: float = MAX_PLACEMENTS_PER_S
    _refilled_at: float = 0.0

    def admit(self, now: float) -> bool:
        """Return whether a question is answered now."""
        refilled = self._tokens + (now - self._refilled_at) * self.per_s
        self._tokens = min(self.per_s, refilled)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def first_coordinator(links: Mapping[str, float]) -> str:
    """Return the host that places the requests of a data centre.

    It also follows the platform, so hosts with the widest link come first. Hosts that
    know the same first host agree, whatever else they know.

    Parameters
    ----------
    links : mapping of str to float
        Bandwidths of the links of live hosts of the data centre, at least one, by name.
    """
    return widest_first(links, "placing")[0]
