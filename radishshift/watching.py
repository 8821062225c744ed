"""Following a kind of object at the platform through breaks, gaps and outages."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from random import Random

import logbook

from radishshift.clocks import Clock
from radishshift.errors import GoneError, RadishshiftError
from radishshift.objects import Kind, Listing, ObjectChange
from radishshift.platform import Platform

__all__ = ["WatchBackoff", "follow_kind"]

RELIST_INTERVAL_S = 300.0


@dataclass(frozen=True, slots=True)
class WatchBackoff:
    """Pauses between calls that failed, in seconds.

    Attributes
    ----------
    initial_s, max_s : float
        A pause doubles with each failure between the two.
    max_relist_delay_s : float
        Longest pause before a listing once the history is gone.
    """

    initial_s: float = 0.5
    max_s: float = 8.0
    max_relist_delay_s: float = 2.0


DEFAULT_BACKOFF = WatchBackoff()

logger = logbook.Logger("watching")


async def follow_kind(
    platform: Platform,
    kind: Kind,
    clock: Clock,
    rng: Random | None = None,
    pauses: WatchBackoff = DEFAULT_BACKOFF,
) -> AsyncIterator[Listing | ObjectChange]:
    """Yield a listing of a kind, then its changes, without end.

    A watch that breaks is resumed from the last revision seen. Only when the
    platform no longer holds that revision, or from time to time, is the kind
    listed again, after a random pause that keeps many hosts from listing at once.
    """
    rng = rng or Random()
    since: int | None = None
    failures = 0
    list_again_at = 0.0
    while True:
        try:
            if since is None or clock.now() >= list_again_at:
                listing = await platform.list_all(kind)
                since = listing.revision
                list_again_at = clock.now() + RELIST_INTERVAL_S * rng.uniform(0.8, 1.2)
                yield listing
            async for change in platform.watch(kind, since):
                failures = 0
                if change.item.revision < since:
                    raise GoneError("the platform has come back older")
                since = max(since, change.item.revision)
                yield change
                if clock.now() >= list_again_at:
                    break
        except GoneError:
            since = None
            await clock.sleep_until(
                clock.now() + rng.uniform(0, pauses.max_relist_delay_s)
            )
        except RadishshiftError as exc:
            failures += 1
            logger.warning("following {} failed: {}", kind, exc.message)
            await clock.sleep_until(clock.now() + _pause_s(failures, pauses, rng))


def _pause_s(failures: int, pauses: WatchBackoff, rng: Random) -> float:
    longest = min(pauses.max_s, pauses.initial_s * 2 ** min(failures, 10))
    return rng.uniform(longest / 2, longest)
