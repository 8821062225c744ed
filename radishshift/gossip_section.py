"""Sections of state that hosts replicate by gossip.

Each host owns one row of a section. The row with the higher version wins, so rows may
arrive late, twice or in any order. A host sends a peer only the rows that the peer has
not acknowledged. The value on a heartbeat is
`[up_to, acknowledged, [[origin, version, value], ...]]`, where `up_to` counts the
changes of the sender's table and `acknowledged` those of the receiver's.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from radishshift.hosts import Host

__all__ = ["GossipSection", "Row"]

ROWS_PER_MESSAGE = 400


@dataclass(slots=True)
class Row:
    """The value that one host published last.

    Attributes
    ----------
    version : int
    value : object
        Made of JSON values.
    change : int
        Number of the local change that stored the row.
    source : str
        Host that the row was received from.
    """

    version: int
    value: Any
    change: int
    source: str


@dataclass(slots=True)
class _PeerState:
    """What was exchanged with one incarnation of a peer, as change numbers.

    `sent` and `acknowledged` count changes of the table here; `received` and
    `acknowledged_to_peer` those of the peer's table. In `acknowledged_to_peer`, -1 is a
    marker: an acknowledgement is due.
    """

    incarnation: int
    sent: int = 0
    acknowledged: int = 0
    received: int = 0
    acknowledged_to_peer: int = 0


class GossipSection:
    """A table of rows, one for each host; peers pass rows on to their own peers.

    Parameters
    ----------
    name : str
        Kept short, as it is sent with each heartbeat that carries the section.
    me : Host
    between_data_centres : bool
        Whether rows are sent to peers in other data centres.
    on_row : callable, optional
        Called with origin, row and clock reading when a newer row is stored.
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
        self._peer_states: dict[str, _PeerState] = {}

    def publish(self, value: Any, now: float) -> None:
        """Replace the row of this host."""
        current = self.rows.get(self._me.name)
        version_min = 0 if current is None else current.version + 1
        version = max(int(now * 1000), version_min)
        self.merge_row(self._me.name, version, value, self._me.name, now)

    def merge_row(
        self, origin: str, version: int, value: Any, source: str, now: float
    ) -> bool:
        """Store a row if it is newer than the current one; return whether it was."""
        current = self.rows.get(origin)
        if current is not None and current.version >= version:
            return False
        self._change += 1
        self.rows[origin] = Row(version, value, self._change, source)
        if self._on_row is not None:
            self._on_row(origin, self.rows[origin], now)
        return True

    def forget(self, origin: str) -> None:
        """Drop the row of a host that has left, and its acknowledgements."""
        self.rows.pop(origin, None)
        self._peer_states.pop(origin, None)

    def outgoing(self, peer: Host, now: float) -> Any | None:
        """Return the message for a peer, or None if there is nothing to send.

        It holds the rows that the peer has not acknowledged, and acknowledges its own.
        """
        if peer.data_centre != self._me.data_centre and not self._between_data_centres:
            return None
        state = self._peer_state(peer)
        rows = sorted(
            self._unacknowledged(peer, state), key=lambda item: item[1].change
        )
        rows = rows[:ROWS_PER_MESSAGE]
        up_to = self._change
        if len(rows) == ROWS_PER_MESSAGE:
            up_to = rows[-1][1].change
        if not rows and state.acknowledged_to_peer == state.received:
            return None
        state.acknowledged_to_peer = state.received
        state.sent = up_to
        values = [[origin, row.version, row.value] for origin, row in rows]
        return [up_to, state.received, values]

    def incoming(self, peer: Host, value: Any, now: float) -> None:
        """Merge the rows that a peer has sent."""
        up_to, acknowledged, rows = value
        state = self._peer_state(peer)
        if acknowledged <= self._change:
            state.acknowledged = max(state.acknowledged, acknowledged)
        for origin, version, row_value in rows:
            self.merge_row(origin, version, row_value, peer.name, now)
        if rows:
            state.received = up_to
            state.acknowledged_to_peer = -1

    def _unacknowledged(
        self, peer: Host, state: _PeerState
    ) -> Iterator[tuple[str, Row]]:
        for origin, row in self.rows.items():
            if row.change > state.acknowledged and row.source != peer.name:
                yield origin, row

    def _peer_state(self, peer: Host) -> _PeerState:
        state = self._peer_states.get(peer.name)
        if state is None or state.incarnation != peer.incarnation:
            state = _PeerState(peer.incarnation)
            self._peer_states[peer.name] = state
        return state
