"""Evidence pooled among the hosts of a data centre, carried on heartbeats.

A host's row is `[origin, [[version, class, after, epoch, {number: count}], ...]]`
with the counts of its present and last epochs, those that are zero left out. Counts
only grow, so a row may come late, twice or through another host; a lost one is made
good by the next.
"""

from typing import Annotated

import logbook
import msgspec
import numpy as np

from radishshift.evidence import COUNTS, Cell, Evidence
from radishshift.gossip_section import GossipSection, Row
from radishshift.hosts import Host

__all__ = ["EvidencePool"]

CELLS_PER_ROW = 128
EPOCHS_SENT = 2

logger = logbook.Logger("evidence")

_Text = Annotated[str, msgspec.Meta(max_length=128)]
_Count = Annotated[float, msgspec.Meta(ge=0, le=1e12)]
_Counts = dict[Annotated[str, msgspec.Meta(max_length=3)], _Count]
_CellRow = tuple[_Text, _Text, _Text, int, _Counts]
_Cells = Annotated[list[_CellRow], msgspec.Meta(max_length=CELLS_PER_ROW)]
_Row = tuple[_Text, _Cells]


class EvidencePool:
    """Sends this host's counts and merges those of the others.

    Parameters
    ----------
    evidence : Evidence
    me : Host

    Attributes
    ----------
    section : GossipSection
        To be carried by `Peers`.
    refused : int
        Rows that were malformed.
    """

    def __init__(self, evidence: Evidence, me: Host) -> None:
        self.evidence = evidence
        self.section = GossipSection("evidence", me, on_row=self._take)
        self.refused = 0
        self._me = me
        self._published: object = None

    def publish(self, now: float) -> None:
        """Put this host's counts on the next heartbeats, if they have changed."""
        self.evidence.drop_old_epochs(now)
        value = self._value()
        if value != self._published:
            self._published = value
            self.section.publish(value, now)

    def _value(self) -> list:
        newest = self.evidence.epoch
        rows = [
            [*cell, epoch, _sparse(counts)]
            for _, cell, epoch, counts in self.evidence.own_counts()
            if epoch > newest - EPOCHS_SENT
        ]
        rows.sort(key=lambda row: (-row[3], row[:3]))
        return [self.evidence.origin, rows[:CELLS_PER_ROW]]

    def _take(self, host: str, row: Row, now: float) -> None:
        if host == self._me.name:
            return
        try:
            origin, cells = msgspec.convert(row.value, _Row)
            counts = [_dense(cell[4]) for cell in cells]
        except (msgspec.ValidationError, ValueError) as exc:
            self.refused += 1
            logger.warning("evidence of {} was refused: {}", host, exc)
            return
        self.evidence.drop_old_epochs(now)
        for (version, task_class, after, epoch, _), values in zip(
            cells, counts, strict=True
        ):
            cell = Cell(version, task_class, after)
            self.evidence.merge(origin, cell, epoch, values)


def _sparse(counts: np.ndarray) -> dict[str, float]:
    return {
        str(number): round(float(counts[number]), 3)
        for number in np.flatnonzero(counts)
    }


def _dense(sparse: dict[str, float]) -> np.ndarray:
    counts = np.zeros(COUNTS)
    for number, value in sparse.items():
        if not 0 <= int(number) < COUNTS:
            raise ValueError(f"no count {number}")
        counts[int(number)] = value
    return counts
