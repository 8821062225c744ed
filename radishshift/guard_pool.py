"""Counts of versions under roll-out, pooled among hosts over heartbeats.

A host's row is `[origin, {version: [[count, total, squares], ...]}]`, one triple for
each metric of `guard.METRICS`. Only versions that are compared are sent. Counts only
grow, so a row may come late, twice or through another host.
"""

from typing import Annotated

import logbook
import msgspec
import numpy as np

from radishshift.epidemic import EpidemicSection, Row
from radishshift.evidence import Outcome
from radishshift.guard import METRICS, Arm
from radishshift.hosts import Host

__all__ = ["GuardPool"]

VERSIONS_MAX = 32
ORIGINS_MAX = 4096
DIGITS = 3
ERRORS, LATENCY, QUALITY = range(len(METRICS))

logger = logbook.Logger("guard")

_Text = Annotated[str, msgspec.Meta(max_length=128)]
_Sum = Annotated[float, msgspec.Meta(ge=0, le=1e12)]
_Triple = tuple[_Sum, _Sum, _Sum]
_Triples = tuple[_Triple, _Triple, _Triple]
_Versions = Annotated[dict[_Text, _Triples], msgspec.Meta(max_length=VERSIONS_MAX)]
_Row = tuple[_Text, _Versions]


class GuardPool:
    """Sums of this host and of the others, by version and metric.

    Parameters
    ----------
    origin : str
        This life of this host.
    me : Host

    Attributes
    ----------
    section : EpidemicSection
        To be carried by `Peers`.
    compared : frozenset of str
        Versions under roll-out and those they are compared with; others are not
        counted.
    refused : int
        Rows that were malformed or over the bound.
    """

    def __init__(self, origin: str, me: Host) -> None:
        self.section = EpidemicSection("guard", me, True, self._take)
        self.compared: frozenset[str] = frozenset()
        self.refused = 0
        self._origin = origin
        self._me = me
        self._own: dict[str, np.ndarray] = {}
        self._others: dict[tuple[str, str], np.ndarray] = {}
        self._pooled: dict[str, np.ndarray] = {}
        self._changed = False

    def record_outcome(self, outcome: Outcome) -> None:
        """Take in how an attempt of this host went."""
        self._add(outcome.version, ERRORS, float(not outcome.ok))
        if outcome.ok:
            self._add(outcome.version, LATENCY, float(outcome.slow))

    def record_rating(self, version: str, rating: float) -> None:
        """Take in a rating, from 0 to 1, of an answer of this host."""
        self._add(version, QUALITY, 1.0 - rating)

    def _add(self, version: str, metric: int, value: float) -> None:
        if version not in self.compared:
            return
        if version not in self._own:
            if len(self._own) >= VERSIONS_MAX:
                return
            self._own[version] = np.zeros((len(METRICS), 3))
        added = np.array([1.0, value, value * value])
        self._own[version][metric] += added
        self._pool(version)[metric] += added
        self._changed = True

    def _pool(self, version: str) -> np.ndarray:
        return self._pooled.setdefault(version, np.zeros((len(METRICS), 3)))

    def publish(self, now: float) -> None:
        """Put this host's sums on the next heartbeats, if they have changed."""
        for version in [name for name in self._own if name not in self.compared]:
            del self._own[version]
            self._changed = True
        if not self._changed:
            return
        self._changed = False
        versions = {
            version: np.round(sums, DIGITS).tolist()
            for version, sums in self._own.items()
        }
        self.section.publish([self._origin, versions], now)

    def _take(self, host: str, row: Row, now: float) -> None:
        if host == self._me.name:
            return
        try:
            origin, versions = msgspec.convert(row.value, _Row)
        except msgspec.ValidationError as exc:
            self.refused += 1
            logger.warning("counts of {} were refused: {}", host, exc)
            return
        if origin == self._origin:
            return
        for version, triples in versions.items():
            self._merge((origin, version), np.array(triples))

    def _merge(self, key: tuple[str, str], sums: np.ndarray) -> None:
        held = self._others.get(key)
        if held is None:
            if len(self._others) >= ORIGINS_MAX:
                self.refused += 1
                return
            held = np.zeros((len(METRICS), 3))
        higher = np.maximum(sums, held)
        self._others[key] = higher
        self._pool(key[1])[:] += higher - held

    def set_compared(self, compared: frozenset[str]) -> None:
        """Count these versions from now on; forget the others."""
        self.compared = compared
        for version in [name for name in self._pooled if name not in compared]:
            del self._pooled[version]
        for key in [key for key in self._others if key[1] not in compared]:
            del self._others[key]

    def arms(self, version: str) -> dict[str, Arm]:
        """Return all that is known of a version, by metric."""
        sums = self._pooled.get(version)
        if sums is None:
            return {metric.name: Arm.empty() for metric in METRICS}
        return {
            metric.name: Arm(*(np.asarray(part) for part in sums[number].copy()))
            for number, metric in enumerate(METRICS)
        }
