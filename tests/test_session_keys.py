"""Tests that any host reads any host's session tokens, and no others."""

import asyncio

from radishshift.errors import PlatformUnavailableError, SessionError
from radishshift.objects import Kind
from radishshift.platform import MemoryPlatform
from radishshift.session_keys import PlatformSessionKeys
from radishshift.sessions import Session
from radishshift.standins.faulty import FaultyPlatform
from radishshift.verdicts import Verdict
from tests.cases import VirtualTestCase
from tests.claims_fleet import CLOCK

PERIOD_S = 10_000.0


class PlatformSessionKeysTest(VirtualTestCase):
    def keeper(self, inner):
        self.way = FaultyPlatform(inner, CLOCK)
        return PlatformSessionKeys(self.way, CLOCK, PERIOD_S)

    async def hosts(self, count=3):
        platform = MemoryPlatform()
        keepers = [self.keeper(platform) for _ in range(count)]
        await asyncio.gather(*(keeper.refresh() for keeper in keepers))
        return platform, keepers

    def session(self, customer="uyole-ring"):
        expires = CLOCK.now() + 3600.0
        return Session("session-1", customer, "farm-advice-small.v1", expires)

    async def test_hosts_that_start_together_agree_on_the_keys(self):
        _, keepers = await self.hosts()
        session = self.session()
        token = keepers[0].issue(session, CLOCK.now())
        for keeper in keepers:
            self.assertEqual(session, keeper.read(token, "uyole-ring", CLOCK.now()))

    async def test_forged_expired_and_foreign_tokens_are_refused(self):
        _, (keeper, _, _) = await self.hosts()
        _, (stranger, _, _) = await self.hosts()
        now = CLOCK.now()
        token = keeper.issue(self.session(), now)
        payload, _, signature = token.partition(".")
        wrong = [
            (stranger.issue(self.session(), now), "uyole-ring", now),
            (token, "igurusi-ring", now),
            (token, "uyole-ring", now + 3601.0),
            (f"{payload}.{signature[:-4]}AAA=", "uyole-ring", now),
            (f"{payload}.", "uyole-ring", now),
            (f".{signature}", "uyole-ring", now),
            ("\u00fc.\u00fc", "uyole-ring", now),
            ("A" * 100_000, "uyole-ring", now),
        ]
        for args in wrong:
            exc = self.assertRaises(SessionError, keeper.read, *args)
            self.assertIs(Verdict.NOT_RUN, exc.verdict)

    async def test_keys_rotate_and_sessions_live_on(self):
        platform, keepers = await self.hosts(2)
        for _ in range(40):
            await CLOCK.sleep_until(CLOCK.now() + 1_500.0)
            token = keepers[0].issue(self.session(), CLOCK.now())
            await keepers[0].refresh()
            await CLOCK.sleep_until(CLOCK.now() + 1_500.0)
            await keepers[1].refresh()
            keepers[1].read(token, "uyole-ring", CLOCK.now())
        listing = await platform.list_all(Kind.SESSION_KEY)
        self.assertLess(len(listing.items), 5)

    async def test_sessions_work_from_memory_while_the_platform_is_away(self):
        _, (_, keeper) = await self.hosts(2)
        self.way.faults.down = True
        await CLOCK.sleep_until(CLOCK.now() + PERIOD_S)
        await keeper.try_refresh()
        token = keeper.issue(self.session(), CLOCK.now())
        keeper.read(token, "uyole-ring", CLOCK.now())

    async def test_a_host_without_keys_and_platform_says_that_it_cannot_tell(self):
        platform, (other,) = await self.hosts(1)
        token = other.issue(self.session(), CLOCK.now())
        keeper = self.keeper(platform)
        self.way.faults.down = True
        await keeper.prepare(token)
        self.assertIsNone(keeper.issue(self.session(), CLOCK.now()))
        exc = self.assertRaises(
            PlatformUnavailableError, keeper.read, token, "uyole-ring", CLOCK.now()
        )
        self.assertIs(Verdict.NOT_RUN, exc.verdict)

    async def test_a_key_that_a_host_lacks_is_loaded_once_a_second_at_most(self):
        platform, (other,) = await self.hosts(1)
        token = other.issue(self.session(), CLOCK.now())
        keeper = self.keeper(platform)
        for _ in range(50):
            await keeper.prepare(token)
        keeper.read(token, "uyole-ring", CLOCK.now())
        calls = self.way.calls
        self.assertLess(calls, 5)

    async def test_a_lost_reply_leaves_one_key_for_all(self):
        platform = MemoryPlatform()
        first = self.keeper(platform)
        self.way.faults.lost_replies = 1
        await first.refresh()
        second = self.keeper(platform)
        await second.refresh()
        self.assertEqual(first.keys, second.keys)
