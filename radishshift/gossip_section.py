"""State that spreads from host to host until every one of them holds it.

Each host owns one row of a section. A row has a version, and the higher version
wins, so rows may come late, twice or in any order. Between two hosts only what the
other has not acknowledged is sent; the value on a heartbeat is
`[upto, acknowledged, [[origin, version, value], ...]]`, where `upto` and
`acknowledged` count the changes of the sender's and of the receiver's table.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from radishshift.hosts import Host

__all__ = ["GossipSection", "Row"]

ROWS_PER_MESSAGE = 400


@dataclass(slots=True)
class Row:
    """What one host has published.

    Attributes
    ----------
    version : int
    value : object
        JSON values.
    change : int
        Number of the change that brought it here.
    source : str
        Host that it came from.
    """

    version: int
    value: Any
    change: int
    source: str


@dataclass(slots=True)
class _Link:
    incarnation: int
    sent: int = 0
    acknowledged: int = 0
    received: int = 0
    told: int = 0


class GossipSection:
    """A section whose rows reach hosts that are not direct peers.

    Parameters
    ----------
    name : str
        Short: it is sent with each heartbeat that carries the section.
    me : Host
    between_data_centres : bool
        Whether rows leave the data centre.
    on_row : callable, optional
        Called with origin, row and instant when a newer row has come.
    """

    def __init__(
        self,
        name: str,
        me: Host,
        between_data_centres: bool = False,
        on_row: Callable[[str, Row, float], None] | None = None,
    ) -> None:
        self.name = name
        self.rows: dict[str, Row] = {}
        self._me = me
        self._between_data_centres = between_data_centres
        self._on_row = on_row
        self._change = 0
        self._links: dict[str, _Link] = {}

    def publish(self, value: Any, now: float) -> None:
        """Replace this host's row."""
        held = self.rows.get(self._me.name)
        least = 0 if held is None else held.version + 1
        version = max(int(now * 1000), least)
        self.merge_row(self._me.name, version, value, self._me.name, now)

    def merge_row(
        self, origin: str, version: int, value: Any, source: str, now: float
    ) -> bool:
        """Take a row; return whether it is newer than the one held."""
        held = self.rows.get(origin)
        if held is not None and held.version >= version:
            return False
        self._change += 1
        self.rows[origin] = Row(version, value, self._change, source)
        if self._on_row is not None:
            self._on_row(origin, self.rows[origin], now)
        return True

    def forget(self, origin: str) -> None:
        """Drop the row of a host that is gone, and what it acknowledged."""
        self.rows.pop(origin, None)
        self._links.pop(origin, None)

    def outgoing(self, peer: Host, now: float) -> Any | None:
        """Return the rows that a peer lacks, or None if it lacks none."""
        if peer.data_centre != self._me.data_centre and not self._between_data_centres:
            return None
        link = self._link(peer)
        rows = sorted(self._lacking(peer, link), key=lambda item: item[1].change)
        rows = rows[:ROWS_PER_MESSAGE]
        upto = self._change
        if len(rows) == ROWS_PER_MESSAGE:
            upto = rows[-1][1].change
        if not rows and link.told == link.received:
            return None
        link.told = link.received
        link.sent = upto
        values = [[origin, row.version, row.value] for origin, row in rows]
        return [upto, link.received, values]

    def incoming(self, peer: Host, value: Any, now: float) -> None:
        """Take the rows that a peer has sent."""
        upto, acknowledged, rows = value
        link = self._link(peer)
        if acknowledged <= self._change:
            link.acknowledged = max(link.acknowledged, acknowledged)
        for origin, version, row_value in rows:
            self.merge_row(origin, version, row_value, peer.name, now)
        if rows:
            link.received = upto
            link.told = -1

    def _lacking(self, peer: Host, link: _Link) -> Iterator[tuple[str, Row]]:
        for origin, row in self.rows.items():
            if row.change > link.acknowledged and row.source != peer.name:
                yield origin, row

    def _link(self, peer: Host) -> _Link:
        link = self._links.get(peer.name)
        if link is None or link.incarnation != peer.incarnation:
            link = _Link(peer.incarnation)
            self._links[peer.name] = link
        return link
