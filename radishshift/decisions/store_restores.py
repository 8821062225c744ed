"""What a host holds on to when the platform's store comes back from an older copy.

Load pattern: the store is away for a moment and returns with a copy some seconds old,
at once for all hosts or, behind a cut, later for some. What operators and endpoints
wrote since is written again within seconds; until then the copy lacks it, and lists
endpoints, orders and states that were gone. Hosts that took the copy for news would go
back on what they had acknowledged, and those that start meanwhile would know nothing
else.
"""

import math
from collections.abc import Container, Iterable
from dataclasses import dataclass

from radishshift.objects import era_of

__all__ = ["RESTORE_HOLD_S", "StoreRestores"]

# Endpoints renew their entries within 1.2 s, and are listed again within about 2 s.
RESTORE_HOLD_S = 4.0


@dataclass(slots=True)
class StoreRestores:
    """The latest restore that a host knows of.

    Attributes
    ----------
    era : int
        Number of the store's restores, as far as known.
    restored_at : float
        Instant at which this host learnt of the latest, -inf if it knows of none.
    held_until : float
        Instant until which what the copy lacks stays in force.
    """

    era: int = 0
    restored_at: float = -math.inf
    held_until: float = -math.inf

    def observe(self, revision: int, known: bool, now: float) -> bool:
        """Take note of a revision that a table reflects.

        Parameters
        ----------
        revision : int
        known : bool
            Whether anything was known of the store before.
        now : float

        Returns
        -------
        bool
            Whether the store has been restored since the last one.
        """
        era = era_of(revision)
        if era <= self.era:
            return False
        self.era = era
        if not known:
            return False
        self.restored_at = now
        self.held_until = now + RESTORE_HOLD_S
        return True

    def holds(self, now: float) -> bool:
        """Return whether what the copy lacks is still in force."""
        return now < self.held_until

    def held_names(
        self, before: Iterable[str], after: Container[str], now: float
    ) -> list[str]:
        """Return what was known before and is missing, but still in force."""
        if not self.holds(now):
            return []
        return [name for name in before if name not in after]

    def departed_before(self, at: float, announced: bool, now: float) -> bool:
        """Return whether an endpoint that the copy lists had left before.

        One that had announced it does not come back under the same identity. One that
        was only delisted is taken back if it is still listed after the hold.
        """
        return at < self.restored_at and (announced or self.holds(now))
