"""Tests of admission."""

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


async def run_pending_tasks():
    for _ in range(5):
        await asyncio.sleep(0)


class AdmissionTest(TestCase):
    def limited_to(self, max_running=1):
        admission = Admission(100, CLOCK)
        admission.pool("advice").concurrency.limit = max_running
        return admission

    async def test_a_request_waits_until_another_has_ended(self):
        admission = self.limited_to()
        order = []

        async def hold(name, event):
            async with admitted(admission):
                order.append(name)
                await event.wait()

        events = [asyncio.Event(), asyncio.Event()]
        tasks = [
            asyncio.create_task(hold(number, event))
            for number, event in enumerate(events)
        ]
        await run_pending_tasks()
        self.assertEqual([0], order)
        self.assertEqual(2, admission.request_count)
        events[0].set()
        await run_pending_tasks()
        self.assertEqual([0, 1], order)
        events[1].set()
        await asyncio.gather(*tasks)
        self.assertEqual(0, admission.request_count)

    async def test_a_caller_that_disconnects_while_waiting_is_not_counted(self):
        admission = self.limited_to()
        async with admitted(admission):
            task = asyncio.create_task(admitted(admission).__aenter__())
            await run_pending_tasks()
            task.cancel()
            await self.assert_raises_async(asyncio.CancelledError, task)
            self.assertEqual(0, admission.pool("advice").waiting)
        self.assertEqual(0, admission.request_count)
        self.assertEqual(0, admission.pool("advice").concurrency.running)

    async def test_a_request_is_refused_once_it_cannot_start_in_time(self):
        admission = self.limited_to()
        async with admitted(admission):
            started_at = asyncio.get_running_loop().time()
            await self.assert_raises_async(
                OverloadedError, admitted(admission, deadline_s=0.05).__aenter__()
            )
            self.assertLess(asyncio.get_running_loop().time() - started_at, 0.5)
        self.assertEqual(0, admission.request_count)

    async def test_a_closed_admission_refuses_new_requests_and_runs_waiting_ones(self):
        admission = self.limited_to()
        async with admitted(admission):
            task = asyncio.create_task(admitted(admission).__aenter__())
            await run_pending_tasks()
            admission.close()
            await self.assert_raises_async(
                ShuttingDownError, admitted(admission).__aenter__()
            )
        await task
        self.assertEqual(1, admission.request_count)

    async def test_requests_beyond_the_limit_of_the_host_are_refused(self):
        admission = Admission(1, CLOCK)
        async with admitted(admission):
            await self.assert_raises_async(
                OverloadedError, admitted(admission).__aenter__()
            )
