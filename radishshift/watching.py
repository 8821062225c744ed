"""Watching a kind of object at the platform across disconnects and outages."""

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
    """Delays before calls are retried, in seconds.

    Attributes
    ----------
    initial_s, max_s : float
        The delay starts at `initial_s` and doubles with each failure up to `max_s`.
    max_relist_delay_s : float
        Longest random delay before a new listing once the platform no longer stores
        the last revision seen.
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
    backoff: WatchBackoff = DEFAULT_BACKOFF,
    since: int | None = None,
) -> AsyncIterator[Listing | ObjectChange]:
    """Yield a listing of a kind, then its changes, indefinitely.

    There is no listing first if the caller knows the objects as of revision `since`.

    A watch that breaks is resumed from the last revision seen. The kind is listed
    again only when the platform no longer has that revision, after a random delay that
    keeps many hosts from listing at once, and about every `RELIST_INTERVAL_S`, checked
    when an event arrives or the watch breaks.
    """
    rng = rng or Random()
    failures = 0
    next_listing_at = 0.0 if since is None else _next_listing_at(clock, rng)
    while True:
        try:
            if since is None or clock.now() >= next_listing_at:
                listing = await platform.list_all(kind)
                since = listing.revision
                next_listing_at = _next_listing_at(clock, rng)
                yield listing
            async for change in platform.watch(kind, since):
                failures = 0
                # An older revision: the platform was restored to an earlier state.
                if change.item.revision < since:
                    raise GoneError(
                        "the platform reports an older revision than before"
                    )
                since = max(since, change.item.revision)
                yield change
                if clock.now() >= next_listing_at:
                    break
        except GoneError:
            since = None
            await clock.sleep_until(
                clock.now() + rng.uniform(0, backoff.max_relist_delay_s)
            )
        except RadishshiftError as exc:
            failures += 1
            logger.warning("failed to watch {}: {}", kind, exc.message)
            await clock.sleep_until(clock.now() + _backoff_s(failures, backoff, rng))


def _next_listing_at(clock: Clock, rng: Random) -> float:
    return clock.now() + RELIST_INTERVAL_S * rng.uniform(0.8, 1.2)


def _backoff_s(failures: int, backoff: WatchBackoff, rng: Random) -> float:
    ceiling_s = min(backoff.max_s, backoff.initial_s * 2 ** min(failures, 10))
    return rng.uniform(ceiling_s / 2, ceiling_s)
