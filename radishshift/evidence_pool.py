"""Evidence shared by gossip among the hosts of a data centre.

A host's row is `[origin, [[version, class, rejected, epoch, {number: count}], ...]]`.
`rejected` is the version whose answer was rejected in the step before; it is empty for
a first step. The row holds the counts of the current and the previous epoch; zeros are
omitted. Counts never decrease, so a row may arrive late, twice or by way of another
host, and the next row makes up for a lost one.
"""

from typing import Annotated

import logbook
import msgspec
import numpy as np

from radishshift.evidence import COUNTS, Cell, Evidence
from radishshift.gossip_section import GossipSection, Row
from radishshift.hosts import Host

__all__ = ["EvidencePool"]

CELLS_PER_ROW_MAX = 128
EPOCHS_PUBLISHED = 2

logger = logbook.Logger("evidence")

_Text = Annotated[str, msgspec.Meta(max_length=128)]
_Count = Annotated[float, msgspec.Meta(ge=0, le=1e12)]
_Counts = dict[Annotated[str, msgspec.Meta(max_length=3)], _Count]
_CellRow = tuple[_Text, _Text, _Text, int, _Counts]
_Cells = Annotated[list[_CellRow], msgspec.Meta(max_length=CELLS_PER_ROW_MAX)]
_Row = tuple[_Text, _Cells]


class EvidencePool:
    """Publishes the counts of this host and merges those of other hosts.

    Parameters
    ----------
    evidence : Evidence
    me : Host

    Attributes
    ----------
    section : GossipSection
        To be registered with `Peers`.
    rejected_rows : int
        Number of malformed rows that were rejected.
    """

    def __init__(self, evidence: Evidence, me: Host) -> None:
        self.evidence = evidence
        self.section = GossipSection("evidence", me, on_row=self._receive)
        self.rejected_rows = 0
        self._me = me
        self._published: object = None

    def publish(self, now: float) -> None:
        """Publish the counts of this host if they have changed."""
        self.evidence.drop_old_epochs(now)
        value = self._value()
        if value != self._published:
            self._published = value
            self.section.publish(value, now)

    def _value(self) -> list:
        newest = self.evidence.epoch
        rows = [
            [*cell, epoch, _encode_counts(counts)]
            for _, cell, epoch, counts in self.evidence.own_counts()
            if epoch > newest - EPOCHS_PUBLISHED
        ]
        rows.sort(key=lambda row: (-row[3], row[:3]))
        return [self.evidence.origin, rows[:CELLS_PER_ROW_MAX]]

    def _receive(self, host: str, row: Row, now: float) -> None:
        if host == self._me.name:
            return
        try:
            origin, cells = msgspec.convert(row.value, _Row)
            counts = [_decode_counts(cell[4]) for cell in cells]
        except (msgspec.ValidationError, ValueError) as exc:
            self.rejected_rows += 1
            logger.warning(
                "malformed evidence row from host {} rejected: {}", host, exc
            )
            return
        self.evidence.drop_old_epochs(now)
        for (version, task_class, rejected_version, epoch, _), values in zip(
            cells, counts, strict=True
        ):
            cell = Cell(version, task_class, rejected_version)
            self.evidence.merge(origin, cell, epoch, values)


def _encode_counts(counts: np.ndarray) -> dict[str, float]:
    return {
        str(number): round(float(counts[number]), 3)
        for number in np.flatnonzero(counts)
    }


def _decode_counts(sparse: dict[str, float]) -> np.ndarray:
    counts = np.zeros(COUNTS)
    for number, value in sparse.items():
        if not 0 <= int(number) < COUNTS:
            raise ValueError(f"count index {number} is out of range")
        counts[int(number)] = value
    return counts
