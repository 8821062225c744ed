"""Tests of the router, in virtual time before scripted endpoints."""

import asyncio

from radishshift.errors import DeadlineError
from tests.cases import VirtualTestCase
from tests.virtual_entry import CLOCK, ScriptedEndpoint, virtual_entry


class ResendTest(VirtualTestCase):
    async def resend(self, entry, **kwargs):
        """Resend a request with 1 s left after half of it; return both results."""
        first = asyncio.create_task(entry.answer(deadline=CLOCK.now() + 1.0))
        await CLOCK.sleep_until(CLOCK.now() + 0.5)
        second = asyncio.create_task(entry.answer(**kwargs))
        return await asyncio.gather(first, second, return_exceptions=True)

    async def test_a_resend_outlives_the_deadline_of_the_first_request(self):
        """It was given up at the deadline of a run that it only followed."""
        slow = ScriptedEndpoint(pauses=(1.5, 0.1, 0.1))
        entry = await virtual_entry({"engine-1": slow})
        error, data = await self.resend(entry, deadline=CLOCK.now() + 60.0)
        self.assertIsInstance(error, DeadlineError)
        self.assertEqual(3, data.count(b"word"))

    async def test_a_resend_never_goes_on_with_another_run(self):
        slow = ScriptedEndpoint(pauses=(0.1, 1.5, 0.1))
        entry = await virtual_entry({"engine-1": slow})
        errors = await self.resend(entry, deadline=CLOCK.now() + 60.0)
        self.assertEqual([DeadlineError] * 2, [type(error) for error in errors])
        self.assertEqual(1, len(slow.started))

    async def test_a_resend_ends_at_its_own_deadline(self):
        slow = ScriptedEndpoint(pauses=(1.5, 0.1, 0.1))
        entry = await virtual_entry({"engine-1": slow})
        errors = await self.resend(entry, deadline=CLOCK.now() + 1.0)
        self.assertEqual([DeadlineError] * 2, [type(error) for error in errors])
        self.assertEqual(1, len(slow.started))
