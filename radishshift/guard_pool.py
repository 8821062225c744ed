"""Sums over versions under roll-out, pooled among hosts by gossip.

A host's row is `[origin, {version: [[count, total, squares], ...]}]`, one triple for
each metric of `guard.METRICS`. Only versions that are compared are sent. Sums only
grow and are merged by maximum, so a row may arrive late, twice or through another host.
"""

from typing import Annotated

import logbook
import msgspec
import numpy as np

from radishshift.evidence import Outcome
from radishshift.gossip_section import GossipSection, Row
from radishshift.guard import METRICS, Arm
from radishshift.hosts import Host

__all__ = ["GuardPool"]

VERSIONS_MAX = 32
ORIGINS_MAX = 4096
SUM_DECIMALS = 3
ERRORS, LATENCY, QUALITY = range(len(METRICS))

logger = logbook.Logger("guard")

_Name = Annotated[str, msgspec.Meta(max_length=128)]
_Sum = Annotated[float, msgspec.Meta(ge=0, le=1e12)]
_Triple = tuple[_Sum, _Sum, _Sum]
_Triples = tuple[_Triple, _Triple, _Triple]
_Versions = Annotated[dict[_Name, _Triples], msgspec.Meta(max_length=VERSIONS_MAX)]
_Row = tuple[_Name, _Versions]


class GuardPool:
    """Sums of this host and of the others, by version and metric.

    Parameters
    ----------
    origin : str
        Id of this process; it changes when the host restarts.
    me : Host

    Attributes
    ----------
    section : GossipSection
        Section of gossip messages; to be registered with `Peers`.
    compared : frozenset of str
        Versions under roll-out and their stable versions; others are not counted.
    rejected_rows : int
        Rejected rows: malformed ones, and those over `ORIGINS_MAX`.
    """

    def __init__(self, origin: str, me: Host) -> None:
        self.section = GossipSection("guard", me, True, self._receive_row)
        self.compared: frozenset[str] = frozenset()
        self.rejected_rows = 0
        self._origin = origin
        self._me = me
        self._own_sums: dict[str, np.ndarray] = {}
        self._other_sums: dict[tuple[str, str], np.ndarray] = {}
        self._pooled: dict[str, np.ndarray] = {}
        self._changed = False

    def record_outcome(self, outcome: Outcome) -> None:
        """Count the outcome of an attempt by this host."""
        self._add(outcome.version, ERRORS, float(not outcome.ok))
        if outcome.ok:
            self._add(outcome.version, LATENCY, float(outcome.slow))

    def record_rating(self, version: str, rating: float) -> None:
        """Count a rating, from 0 to 1, of an answer by this host."""
        self._add(version, QUALITY, 1.0 - rating)

    def _add(self, version: str, metric: int, value: float) -> None:
        if version not in self.compared:
            return
        if version not in self._own_sums:
            if len(self._own_sums) >= VERSIONS_MAX:
                return
            self._own_sums[version] = np.zeros((len(METRICS), 3))
        increment = np.array([1.0, value, value * value])
        self._own_sums[version][metric] += increment
        self._pooled_sums(version)[metric] += increment
        self._changed = True

    def _pooled_sums(self, version: str) -> np.ndarray:
        return self._pooled.setdefault(version, np.zeros((len(METRICS), 3)))

    def publish(self, now: float) -> None:
        """Add this host's sums to the next gossip messages if they have changed."""
        for version in [name for name in self._own_sums if name not in self.compared]:
            del self._own_sums[version]
            self._changed = True
        if not self._changed:
            return
        self._changed = False
        versions = {
            version: np.round(sums, SUM_DECIMALS).tolist()
            for version, sums in self._own_sums.items()
        }
        self.section.publish([self._origin, versions], now)

    def _receive_row(self, host: str, row: Row, now: float) -> None:
        if host == self._me.name:
            return
        try:
            origin, versions = msgspec.convert(row.value, _Row)
        except msgspec.ValidationError as exc:
            self.rejected_rows += 1
            logger.warning("malformed roll-out counts from {} rejected: {}", host, exc)
            return
        if origin == self._origin:
            return
        for version, triples in versions.items():
            self._merge((origin, version), np.array(triples))

    def _merge(self, key: tuple[str, str], sums: np.ndarray) -> None:
        previous = self._other_sums.get(key)
        if previous is None:
            if len(self._other_sums) >= ORIGINS_MAX:
                self.rejected_rows += 1
                return
            previous = np.zeros((len(METRICS), 3))
        merged = np.maximum(sums, previous)
        self._other_sums[key] = merged
        self._pooled_sums(key[1])[:] += merged - previous

    def set_compared(self, compared: frozenset[str]) -> None:
        """Set the versions to count; drop the sums of all others."""
        self.compared = compared
        for version in [name for name in self._pooled if name not in compared]:
            del self._pooled[version]
        for key in [key for key in self._other_sums if key[1] not in compared]:
            del self._other_sums[key]

    def arms(self, version: str) -> dict[str, Arm]:
        """Return the pooled sums of a version, by metric."""
        sums = self._pooled.get(version)
        if sums is None:
            return {metric.name: Arm.empty() for metric in METRICS}
        return {
            metric.name: Arm(*(np.asarray(amount) for amount in sums[number].copy()))
            for number, metric in enumerate(METRICS)
        }
