"""Tests of watches that are resumed and read in batches."""

import asyncio

from radishshift.objects import ChangeType, Kind, Listing, ObjectChange, StoredObject
from radishshift.platform import Platform
from radishshift.virtual_time import LoopClock
from radishshift.watching import WatchBackoff, follow_kind
from tests.cases import VirtualTestCase

CHANGES = 60
CHANGE_INTERVAL_S = 0.02


class _PollingPlatform(Platform):
    """Platform of which each reply to a watch ends with a bookmark."""

    def __init__(self):
        self.revision = 0
        self.replies = 0
        self.changed = asyncio.Event()

    def put(self):
        self.revision += 1
        self.changed.set()

    async def list_all(self, kind, allow_stale=False):
        return Listing((), self.revision)

    async def watch(self, kind, since):
        while True:
            while self.revision <= since:
                self.changed.clear()
                await self.changed.wait()
            self.replies += 1
            last = self.revision
            for revision in range(since + 1, last + 1):
                item = StoredObject(kind, f"e{revision}", revision=revision)
                yield ObjectChange(ChangeType.ADDED, item)
            since = last
            bookmark = StoredObject(kind, "", revision=since)
            yield ObjectChange(ChangeType.BOOKMARK, bookmark)


class WatchingTest(VirtualTestCase):
    async def _replies(self, batch_s):
        """Return the replies that delivered all changes, and the longest delay."""
        platform = _PollingPlatform()
        clock = LoopClock()
        made_at = {}
        delays = []

        async def write():
            for _ in range(CHANGES):
                await asyncio.sleep(CHANGE_INTERVAL_S)
                platform.put()
                made_at[platform.revision] = clock.now()

        writing = asyncio.create_task(write())
        backoff = WatchBackoff(batch_s=batch_s)
        changes = follow_kind(platform, Kind.ENDPOINT, clock, None, backoff)
        async for change in changes:
            if isinstance(change, ObjectChange) and change.type is ChangeType.ADDED:
                delays.append(clock.now() - made_at[change.item.revision])
            if len(delays) == CHANGES:
                break
        await changes.aclose()
        await writing
        return platform.replies, max(delays)

    async def test_changes_in_quick_succession_come_with_few_replies(self):
        """Each of 59 endpoints that registered cost each watcher a call."""
        replies, _ = await self._replies(0.0)
        self.assertEqual(CHANGES, replies)
        replies, delay_s = await self._replies(0.1)
        self.assertLess(replies, CHANGES / 4)
        self.assertLessEqual(delay_s, 0.1)
