"""Tests that every host accepts the fleet's session tokens and rejects all others."""

import asyncio

from radishshift.errors import PlatformUnavailableError, SessionError
from radishshift.objects import Kind, StoredObject
from radishshift.platform import MemoryPlatform
from radishshift.session_keys import PlatformSessionKeys
from radishshift.sessions import Session
from radishshift.standins.faulty import FaultyPlatform
from radishshift.verdicts import Verdict
from tests.cases import VirtualTestCase
from tests.claims_fleet import CLOCK

PERIOD_S = 10_000.0


class PlatformSessionKeysTest(VirtualTestCase):
    def host_keys(self, inner):
        self.faulty_platform = FaultyPlatform(inner, CLOCK)
        return PlatformSessionKeys(self.faulty_platform, CLOCK, PERIOD_S)

    async def hosts(self, count=3):
        platform = MemoryPlatform()
        fleet_keys = [self.host_keys(platform) for _ in range(count)]
        await asyncio.gather(*(host_keys.refresh() for host_keys in fleet_keys))
        return platform, fleet_keys

    def session(self, customer="uyole-ring"):
        expires = CLOCK.now() + 3600.0
        return Session("session-1", customer, "farm-advice-small.v1", expires)

    async def test_hosts_that_start_concurrently_agree_on_the_keys(self):
        _, fleet_keys = await self.hosts()
        session = self.session()
        token = fleet_keys[0].issue(session, CLOCK.now())
        for host_keys in fleet_keys:
            self.assertEqual(session, host_keys.read(token, "uyole-ring", CLOCK.now()))

    async def test_forged_expired_and_foreign_tokens_are_refused(self):
        _, (host_keys, _, _) = await self.hosts()
        _, (other_fleet_keys, _, _) = await self.hosts()
        now = CLOCK.now()
        token = host_keys.issue(self.session(), now)
        payload, _, signature = token.partition(".")
        wrong = [
            (other_fleet_keys.issue(self.session(), now), "uyole-ring", now),
            (token, "igurusi-ring", now),
            (token, "uyole-ring", now + 3601.0),
            (f"{payload}.{signature[:-4]}AAA=", "uyole-ring", now),
            (f"{payload}.", "uyole-ring", now),
            (f".{signature}", "uyole-ring", now),
            ("\u00fc.\u00fc", "uyole-ring", now),
            ("A" * 100_000, "uyole-ring", now),
        ]
        for args in wrong:
            exc = self.assertRaises(SessionError, host_keys.read, *args)
            self.assertIs(Verdict.NOT_RUN, exc.verdict)

    async def test_a_key_that_cannot_be_read_signs_and_verifies_nothing(self):
        """An empty key let anybody forge tokens; a malformed one ended the refresh."""
        specs = (
            {"key": "", "signsFrom": 0.0},
            {"key": "ab" * 8, "signsFrom": 0.0},
            {"key": "odd", "signsFrom": 0.0},
            {"key": 7, "signsFrom": 0.0},
            {"key": "ab" * 32},
            {},
        )
        platform = MemoryPlatform()
        for number, spec in enumerate(specs):
            await platform.create(StoredObject(Kind.SESSION_KEY, f"k{number}", spec))
        host_keys = self.host_keys(platform)
        await host_keys.try_refresh()
        self.assertEqual(1, len(host_keys.keys))
        self.assertNotIn("k0", host_keys.keys)
        token = host_keys.issue(self.session(), CLOCK.now())
        host_keys.read(token, "uyole-ring", CLOCK.now())

    async def test_sessions_survive_key_rotation(self):
        platform, fleet_keys = await self.hosts(2)
        for _ in range(40):
            await CLOCK.sleep_until(CLOCK.now() + 1_500.0)
            token = fleet_keys[0].issue(self.session(), CLOCK.now())
            await fleet_keys[0].refresh()
            await CLOCK.sleep_until(CLOCK.now() + 1_500.0)
            await fleet_keys[1].refresh()
            fleet_keys[1].read(token, "uyole-ring", CLOCK.now())
        listing = await platform.list_all(Kind.SESSION_KEY)
        self.assertLess(len(listing.items), 5)

    async def test_loaded_keys_keep_working_while_the_platform_is_unavailable(self):
        _, (_, host_keys) = await self.hosts(2)
        self.faulty_platform.faults.down = True
        await CLOCK.sleep_until(CLOCK.now() + PERIOD_S)
        await host_keys.try_refresh()
        token = host_keys.issue(self.session(), CLOCK.now())
        host_keys.read(token, "uyole-ring", CLOCK.now())

    async def test_a_host_without_keys_or_platform_reports_that_it_is_unavailable(self):
        platform, (other,) = await self.hosts(1)
        token = other.issue(self.session(), CLOCK.now())
        host_keys = self.host_keys(platform)
        self.faulty_platform.faults.down = True
        await host_keys.prepare(token)
        self.assertIsNone(host_keys.issue(self.session(), CLOCK.now()))
        exc = self.assertRaises(
            PlatformUnavailableError, host_keys.read, token, "uyole-ring", CLOCK.now()
        )
        self.assertIs(Verdict.NOT_RUN, exc.verdict)

    async def test_a_missing_key_is_loaded_at_most_once_a_second(self):
        platform, (other,) = await self.hosts(1)
        token = other.issue(self.session(), CLOCK.now())
        host_keys = self.host_keys(platform)
        for _ in range(50):
            await host_keys.prepare(token)
        host_keys.read(token, "uyole-ring", CLOCK.now())
        calls = self.faulty_platform.calls
        self.assertLess(calls, 5)

    async def test_a_lost_reply_to_a_create_leaves_one_key_for_all_hosts(self):
        platform = MemoryPlatform()
        first = self.host_keys(platform)
        self.faulty_platform.faults.lost_replies = 1
        await first.refresh()
        second = self.host_keys(platform)
        await second.refresh()
        self.assertEqual(first.keys, second.keys)
