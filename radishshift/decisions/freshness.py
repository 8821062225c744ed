"""How old a host's view of the platform's objects is.

Load pattern: hundreds of hosts of which a few read the platform's store, and tell the
others. When these few stand still or can't be reached, the others hear nothing, which
looks like a time without changes. So each host keeps the instant at which its view was
last known to equal the store's, and the hosts compare these as they gossip. One with an
overdue view reads the store for itself, hosts with wide links before the others.
"""

import enum
import math
from collections.abc import Sequence
from dataclasses import dataclass, field

from radishshift.objects import Kind

__all__ = ["Freshness", "ReadOrder", "overdue_after_s"]

GOSSIP_ROUND_S = 0.6  # longest pause between two rounds of gossip
# Hosts with narrow links wait this much longer: a large configuration fills their
# links, and the others send them its changes alone.
NARROW_DELAY_S = 0.35


class ReadOrder(enum.Enum):
    """Which hosts read the store first when nobody has read it for too long."""

    FOLLOWER = "follower"
    WIDE = "wide"
    NARROW = "narrow"


def overdue_after_s(order: ReadOrder, resync_interval_s: float) -> float:
    """Return the age from which a host reads the store for itself, in seconds.

    What a resync finds reaches the other followers within a round of gossip, and the
    other hosts within two.
    """
    if order is ReadOrder.FOLLOWER:
        return resync_interval_s + GOSSIP_ROUND_S
    delay_s = NARROW_DELAY_S if order is ReadOrder.NARROW else 0.0
    return resync_interval_s + 2 * GOSSIP_ROUND_S + delay_s


@dataclass(slots=True)
class Freshness:
    """Instants at which a host's tables were last known to equal the store's.

    Attributes
    ----------
    kinds : sequence of Kind
        Kinds of objects whose changes have a deadline.
    """

    kinds: Sequence[Kind]
    _current_at: dict[Kind, float] = field(default_factory=dict)
    _reset_at: float = -math.inf

    def confirm(self, kind: Kind, asked_at: float, age_s: float = 0.0) -> None:
        """Record that the table of a kind equals what the store or a peer replied.

        Parameters
        ----------
        kind : Kind
        asked_at : float
            Instant of the question.
        age_s : float
            Seconds for which a peer had not compared its own table with the store's.
        """
        if asked_at >= self._reset_at:
            known_at = self._current_at.get(kind, -math.inf)
            self._current_at[kind] = max(known_at, asked_at - age_s)

    def reset(self, now: float) -> None:
        """Forget all confirmations, and ignore replies to earlier questions.

        After a suspension of the machine, which the clock does not count, they are
        older than they seem.
        """
        self._current_at.clear()
        self._reset_at = now

    def current_at(self) -> float:
        """Return the instant up to which all changes are known; -inf if there is none.

        It is that of the kind that was confirmed least recently.
        """
        return min(self._current_at.get(kind, -math.inf) for kind in self.kinds)

    def staleness_s(self, now: float) -> float | None:
        """Return the seconds since `current_at`, None if there is none."""
        staleness_s = now - self.current_at()
        return round(staleness_s, 3) if staleness_s < math.inf else None
