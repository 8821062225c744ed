"""Tests of the client of the users' store."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace

from users_platform.store import StorePlatform

from radishshift.errors import (
    AlreadyExistsError,
    ConflictError,
    GoneError,
    NotFoundError,
    PlatformUnavailableError,
)
from radishshift.objects import (
    ChangeType,
    Kind,
    StoredObject,
    bookmark,
    era_of,
    in_era,
)
from radishshift.verdicts import Verdict
from tests.cases import TestCase
from tests.raw_endpoints import RawEndpoint
from tests.users_platform.served import running_platform


@asynccontextmanager
async def _client():
    async with running_platform() as platform:
        client = StorePlatform(platform.store_address)
        try:
            yield platform.store, client
        finally:
            await client.close()


async def _list_parts(*parts, pause_s=0.0):
    """List endpoints at a store that replies with these parts of a body."""

    async def reply(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        length = sum(map(len, parts))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length)
        for part in parts:
            await asyncio.sleep(pause_s)
            writer.write(part)
        writer.close()

    server = await asyncio.start_server(reply, "127.0.0.1", 0)
    address, port = server.sockets[0].getsockname()
    client = StorePlatform(f"{address}:{port}")
    async with server:
        try:
            return await client.list_all(Kind.ENDPOINT)
        finally:
            await client.close()


class StoreTest(TestCase):
    async def test_a_list_is_read_in_pages(self):
        async with _client() as (store, client):
            store.faults.page_size = 2
            for number in range(7):
                store.put("servers", f"s{number}", {})
            listing = await client.list_all(Kind.ENDPOINT)
        self.assertEqual(9, len(listing.items))

    async def test_a_stale_listing_is_requested_for_each_page(self):
        async with _client() as (store, client):
            store.faults.page_size = 2
            store.put("servers", "s1", {})
            listing = await client.list_all(Kind.ENDPOINT, allow_stale=True)
        self.assertEqual(3, len(listing.items))
        paths = [path for _, path in store.calls]
        self.assertEqual(2, sum("allowStale=1" in path for path in paths))

    async def test_malformed_entries_do_not_hide_the_others(self):
        async with _client() as (store, client):
            store.put("servers", "odd", "bytes")
            store.objects_by_kind["servers"]["odder"] = {"metadata": "none"}
            names = {item.name for item in (await client.list_all(Kind.ENDPOINT)).items}
        self.assertEqual({"advice-1", "desk-1", "odd"}, names)

    async def test_a_watch_yields_changes_and_bookmarks_and_continues(self):
        async with _client() as (store, client):
            since = store.revision
            store.put("servers", "new", {"x": 1})
            changes = client.watch(Kind.ENDPOINT, since)
            first = await anext(changes)
            bookmark = await anext(changes)
            store.remove("servers", "new")
            second = await anext(changes)
            await changes.aclose()
        self.assertEqual((ChangeType.MODIFIED, "new"), (first.type, first.item.name))
        self.assertEqual(ChangeType.BOOKMARK, bookmark.type)
        self.assertEqual((ChangeType.DELETED, "new"), (second.type, second.item.name))

    async def test_a_watch_of_dropped_history_fails_as_gone(self):
        async with _client() as (store, client):
            store.faults.history_start = store.revision
            await self.assert_raises_async(
                GoneError, anext(client.watch(Kind.ENDPOINT, 1))
            )

    async def test_changes_are_read_without_waiting_for_the_next(self):
        async with _client() as (store, client):
            since = store.revision
            nothing = await client.changes_since(Kind.ENDPOINT, since)
            store.put("servers", "new", {"x": 1})
            store.remove("servers", "new")
            changes = await client.changes_since(Kind.ENDPOINT, since)
            store.faults.history_start = store.revision
            await self.assert_raises_async(
                GoneError, client.changes_since(Kind.ENDPOINT, since)
            )
        self.assertEqual([bookmark(Kind.ENDPOINT, since)], nothing)
        self.assertEqual(bookmark(Kind.ENDPOINT, store.revision), changes[-1])
        self.assertEqual(
            [ChangeType.MODIFIED, ChangeType.DELETED],
            [change.type for change in changes[:-1]],
        )

    async def test_a_write_with_an_old_revision_conflicts(self):
        async with _client() as (store, client):
            store.put("rollouts", "advice", {"target": "v2"})
            stored = await client.get(Kind.ROLLOUT, "advice")
            written = await client.update_status(replace(stored, status={"state": "x"}))
            self.assertEqual({"state": "x"}, written.status)
            self.assertEqual({"target": "v2"}, written.spec)
            await self.assert_raises_async(
                ConflictError, client.update_status(replace(stored, status={}))
            )

    async def test_a_write_whose_reply_is_lost_may_have_taken_effect(self):
        async with _client() as (store, client):
            store.put("rollouts", "advice", {"target": "v2"})
            stored = await client.get(Kind.ROLLOUT, "advice")
            store.faults.lose_replies = 1
            exc = await self.assert_raises_async(
                PlatformUnavailableError,
                client.update_status(replace(stored, status={"state": "x"})),
            )
            self.assertEqual(Verdict.MAY_HAVE_RUN, exc.verdict)
            again = await client.get(Kind.ROLLOUT, "advice")
            self.assertEqual({"state": "x"}, again.status)

    async def test_a_malformed_reply_to_a_write_may_hide_its_effect(self):
        """The write of a roll-out's status counted as not run."""
        async with _client() as (store, client):
            store.put("rollouts", "advice", {"target": "v2"})
            stored = await client.get(Kind.ROLLOUT, "advice")
            store.faults.garble_replies = 1
            exc = await self.assert_raises_async(
                PlatformUnavailableError,
                client.update_status(replace(stored, status={"state": "x"})),
            )
            self.assertEqual(Verdict.MAY_HAVE_RUN, exc.verdict)
            again = await client.get(Kind.ROLLOUT, "advice")
            self.assertEqual({"state": "x"}, again.status)

    async def test_a_list_with_an_unreadable_page_is_not_taken_as_whole(self):
        """Endpoints on the pages after it were taken to be gone."""
        async with _client() as (store, client):
            store.faults.page_size = 1
            store.objects_by_kind["servers"]["aa"] = {"metadata": "none"}
            await self.assert_raises_async(
                PlatformUnavailableError, client.list_all(Kind.ENDPOINT)
            )

    async def test_a_list_that_does_not_say_whether_it_ends_is_not_taken_as_whole(self):
        """What stood on the pages after it would have been taken to be gone."""
        await self.assert_raises_async(
            PlatformUnavailableError, _list_parts(b'{"entries": [], "asOf": 7}')
        )

    async def test_a_long_reply_over_a_small_link_counts_as_a_lost_store(self):
        """A host that took over 1.5 s to receive 1 MB took the store for lost."""
        body = b'{"entries": [], "more": false, "asOf": 7}'
        parts = (body[:9], body[9:16], body[16:20], body[20:])
        listing = await _list_parts(*parts, pause_s=0.5)
        self.assertEqual(7, listing.revision)

    async def test_a_refused_call_had_no_effect(self):
        async with _client() as (store, client):
            for status in (429, 503):
                store.faults.status = status
                exc = await self.assert_raises_async(
                    PlatformUnavailableError, client.list_all(Kind.ENDPOINT)
                )
                self.assertEqual(Verdict.NOT_RUN, exc.verdict)

    async def test_objects_are_created_read_and_removed(self):
        async with _client() as (_, client):
            item = StoredObject(Kind.ROLLOUT, "new", {"a": 1})
            created = await client.create(item)
            await self.assert_raises_async(AlreadyExistsError, client.create(item))
            await client.delete(Kind.ROLLOUT, "new", created.revision)
            await self.assert_raises_async(
                NotFoundError, client.get(Kind.ROLLOUT, "new")
            )

    async def test_a_store_that_refuses_connections_is_unavailable(self):
        client = StorePlatform("127.0.0.1:1")
        await self.assert_raises_async(
            PlatformUnavailableError, client.list_all(Kind.ENDPOINT)
        )
        await client.close()
        await asyncio.sleep(0)


class RestoresTest(TestCase):
    """The store comes back from an older copy, and gives revisions out again."""

    async def test_what_a_restored_store_says_comes_after_all_before(self):
        async with _client() as (store, client):
            store.era = 3
            saved = store.copy()
            store.put("servers", "new", {"x": 1})
            before = await client.list_all(Kind.ENDPOINT)
            store.restore(saved)
            after = await client.list_all(Kind.ENDPOINT)
        self.assertEqual((3, 4), (era_of(before.revision), era_of(after.revision)))
        newest = max(item.revision for item in before.items)
        self.assertGreater(min(item.revision for item in after.items), newest)

    async def test_changes_are_not_read_across_a_restore(self):
        """The store has given out the same revision meanwhile, for something else."""
        async with _client() as (store, client):
            store.era = 0
            saved = store.copy()
            store.put("servers", "lost", {})
            since = (await client.list_all(Kind.ENDPOINT)).revision
            store.restore(saved)
            store.faults.history_start = 0
            for name in ("one", "two", "three"):
                store.put("servers", name, {})
            for _ in range(2):
                await self.assert_raises_async(
                    GoneError, client.changes_since(Kind.ENDPOINT, since)
                )
            listing = await client.list_all(Kind.ENDPOINT)
            nothing = await client.changes_since(Kind.ENDPOINT, listing.revision)
        self.assertEqual([bookmark(Kind.ENDPOINT, in_era(1, store.revision))], nothing)

    async def test_no_write_is_conditioned_on_a_revision_of_before(self):
        async with _client() as (store, client):
            store.era = 0
            store.put("rollouts", "advice", {"target": "v2"})
            stored = await client.get(Kind.ROLLOUT, "advice")
            store.restore(store.copy())
            again = await client.get(Kind.ROLLOUT, "advice")
            for write in (
                client.update_status(replace(stored, status={"state": "x"})),
                client.update(replace(stored, spec={})),
                client.delete(Kind.ROLLOUT, "advice", stored.revision),
            ):
                await self.assert_raises_async(ConflictError, write)
            written = await client.update_status(replace(again, status={"state": "y"}))
        self.assertEqual({"state": "y"}, written.status)

    async def test_a_reply_without_an_era_is_of_the_one_known(self):
        async with _client() as (store, client):
            store.era = 2
            await client.list_all(Kind.ENDPOINT)
            for era in (None, "soon"):
                store.era = era
                listing = await client.list_all(Kind.ENDPOINT)
                self.assertEqual(2, era_of(listing.revision))


class StatusTest(TestCase):
    async def test_a_status_below_100_is_no_reply(self):
        """A deletion that the store answered 000 counted as done."""
        body = b'{"metadata": {"name": "x", "revision": 2}, "spec": {}}'
        item = StoredObject(Kind.LEASE, "x", revision=1)
        for status in (b"000", b"099"):
            head = b"HTTP/1.1 %b x\r\nContent-Length: %d\r\n\r\n" % (status, len(body))
            async with RawEndpoint(head + body).listening() as store:
                client = StorePlatform(store.address)
                for call in (
                    client.get(Kind.LEASE, "x"),
                    client.update(item),
                    client.delete(Kind.LEASE, "x", 1),
                ):
                    await self.assert_raises_async(PlatformUnavailableError, call)
                await client.close()
