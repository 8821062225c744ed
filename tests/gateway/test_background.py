"""Tests of background tasks that fail."""

import asyncio

from radishshift.gateway.background import RESTART_S, BackgroundTasks
from tests.cases import VirtualTestCase


class BackgroundTasksTest(VirtualTestCase):
    async def test_a_task_that_fails_runs_again_beside_the_others(self):
        """An unexpected error in one task stopped the whole host."""
        runs = {"failing": 0, "sound": 0}

        async def failing():
            runs["failing"] += 1
            raise ValueError("unexpected")

        async def sound():
            while True:
                runs["sound"] += 1
                await asyncio.sleep(0.5)

        tasks = BackgroundTasks()
        tasks.keep_running("failing", failing)
        tasks.keep_running("sound", sound)
        tasks.spawn("once", failing())
        await asyncio.sleep(2.5 * RESTART_S)
        await tasks.cancel()
        self.assertEqual(4, runs["failing"])
        self.assertEqual(4, tasks.failures)
        self.assertGreaterEqual(runs["sound"], 5)
