"""Tests of admission as requests meet it."""

import asyncio

from radishshift.admission import Admission
from radishshift.clocks import SystemClock
from radishshift.errors import OverloadedError, ShuttingDownError
from tests.cases import TestCase
from tests.test_admission_queue import QUICK, contract


def admitted(admission, deadline_s=5.0, task_class=QUICK):
    deadline = CLOCK.now() + deadline_s
    return admission.admitted(task_class, contract(), 100.0, deadline, "advice")


CLOCK = SystemClock()


async def settle():
    for _ in range(5):
        await asyncio.sleep(0)


class AdmissionTest(TestCase):
    def full(self, places=1):
        admission = Admission(100, CLOCK)
        admission.pool("advice").concurrency.limit = places
        return admission

    async def test_one_waits_until_another_has_ended(self):
        admission = self.full()
        order = []

        async def ask(name, event):
            async with admitted(admission):
                order.append(name)
                await event.wait()

        events = [asyncio.Event(), asyncio.Event()]
        tasks = [
            asyncio.create_task(ask(number, event))
            for number, event in enumerate(events)
        ]
        await settle()
        self.assertEqual([0], order)
        self.assertEqual(2, admission.running)
        events[0].set()
        await settle()
        self.assertEqual([0, 1], order)
        events[1].set()
        await asyncio.gather(*tasks)
        self.assertEqual(0, admission.running)

    async def test_a_caller_that_goes_while_waiting_leaves_no_trace(self):
        admission = self.full()
        async with admitted(admission):
            task = asyncio.create_task(admitted(admission).__aenter__())
            await settle()
            task.cancel()
            await self.assert_raises_async(asyncio.CancelledError, task)
            self.assertEqual(0, admission.pool("advice").waiting)
        self.assertEqual(0, admission.running)
        self.assertEqual(0, admission.pool("advice").concurrency.running)

    async def test_the_refusal_comes_when_the_wait_is_in_vain(self):
        admission = self.full()
        async with admitted(admission):
            began = asyncio.get_running_loop().time()
            await self.assert_raises_async(
                OverloadedError, admitted(admission, deadline_s=0.05).__aenter__()
            )
            self.assertLess(asyncio.get_running_loop().time() - began, 0.5)
        self.assertEqual(0, admission.running)

    async def test_a_leaving_host_refuses_but_keeps_those_in_line(self):
        admission = self.full()
        async with admitted(admission):
            task = asyncio.create_task(admitted(admission).__aenter__())
            await settle()
            admission.close()
            await self.assert_raises_async(
                ShuttingDownError, admitted(admission).__aenter__()
            )
        await task
        self.assertEqual(1, admission.running)

    async def test_the_bound_of_the_host_holds(self):
        admission = Admission(1, CLOCK)
        async with admitted(admission):
            await self.assert_raises_async(
                OverloadedError, admitted(admission).__aenter__()
            )
