"""Tests of the event loops for pauses and for many streams."""

import asyncio
import signal
import socket
import time
from unittest import mock

from radishshift import loops
from tests.cases import TestCase


def _pause():
    """Block the process for longer than the timeouts of these tests."""
    time.sleep(0.3)


class InputFirstLoopTest(TestCase):
    """Guards BUDGET and LOST: attempts were given up with their answers at hand."""

    TIMEOUT_S = 0.15

    def _run(self, coroutine):
        with asyncio.Runner(loop_factory=loops.input_first_event_loop) as runner:
            return runner.run(coroutine)

    def setUp(self):
        super().setUp()
        self.addCleanup(signal.signal, signal.SIGALRM, signal.SIG_DFL)

    async def _read_beside_a_pause(self):
        """Read with a timeout that runs out during a pause in which data arrives."""
        near, far = socket.socketpair()
        reader, writer = await asyncio.open_connection(sock=near)
        reading = asyncio.create_task(self._read(reader))
        await asyncio.sleep(0)
        far.send(b"x")
        _pause()
        try:
            return await reading
        finally:
            writer.close()
            far.close()

    async def _read(self, reader):
        async with asyncio.timeout(self.TIMEOUT_S):
            return await reader.read(1)

    def test_data_that_came_during_a_pause_wins_over_a_timeout(self):
        self.assertEqual(b"x", self._run(self._read_beside_a_pause()))

    def test_data_that_came_while_the_process_was_stopped_wins_over_a_timeout(self):
        async def silent_until_the_pause():
            near, far = socket.socketpair()
            reader, writer = await asyncio.open_connection(sock=near)
            signal.signal(signal.SIGALRM, lambda *_: self._send_and_block(far))
            signal.setitimer(signal.ITIMER_REAL, 0.01)
            try:
                return await self._read(reader)
            finally:
                writer.close()
                far.close()

        self.assertEqual(b"x", self._run(silent_until_the_pause()))

    @staticmethod
    def _send_and_block(far):
        _pause()
        far.send(b"x")

    def test_a_connection_that_was_made_during_a_pause_is_used(self):
        async def connect():
            with socket.create_server(("127.0.0.1", 0)) as listener:
                connecting = asyncio.create_task(
                    asyncio.open_connection(*listener.getsockname())
                )
                async with asyncio.timeout(self.TIMEOUT_S):
                    await asyncio.sleep(0)
                    _pause()
                    _, writer = await connecting
                writer.close()

        self._run(connect())

    def test_a_timeout_without_input_ends_after_a_pause(self):
        async def wait_in_vain():
            near, far = socket.socketpair()
            reader, writer = await asyncio.open_connection(sock=near)
            asyncio.get_running_loop().call_soon(_pause)
            try:
                with self.assertRaises(TimeoutError):
                    await self._read(reader)
            finally:
                writer.close()
                far.close()

        self._run(wait_in_vain())

    def test_a_timer_that_is_cancelled_after_a_pause_does_not_run(self):
        called = []

        async def cancel():
            loop = asyncio.get_running_loop()
            handle = loop.call_later(0.01, called.append, 1)
            _pause()
            await asyncio.sleep(0)
            handle.cancel()
            await asyncio.sleep(0.01)

        self._run(cancel())
        self.assertEqual([], called)

    def test_timers_run_in_spite_of_input_without_end(self):
        async def busy():
            near, far = socket.socketpair()
            near.setblocking(False)
            far.send(b"x")
            loop = asyncio.get_running_loop()
            loop.add_reader(near, lambda: None)  # is never read, so it stays ready
            loop.call_soon(_pause)
            await asyncio.sleep(0.01)
            loop.remove_reader(near)
            near.close()
            far.close()

        self._run(busy())


class CoalescingSelectorTest(TestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.slept = []
        clock = mock.Mock(monotonic=lambda: self.now, sleep=self.sleep)
        patcher = mock.patch.object(loops, "time", clock)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.selector = loops.CoalescingSelector()
        self.addCleanup(self.selector.close)

    def sleep(self, seconds):
        self.slept.append(seconds)
        self.now += seconds

    def register_ready_sockets(self, count):
        for _ in range(count):
            near, far = socket.socketpair()
            self.addCleanup(near.close)
            self.addCleanup(far.close)
            far.send(b"x")
            self.selector.register(near, loops.selectors.EVENT_READ)

    def test_a_busy_loop_waits_between_polls(self):
        self.register_ready_sockets(20)
        for _ in range(200):
            self.now += 0.0005
            self.assertEqual(20, len(self.selector.select(0.1)))
        self.assertGreater(len(self.slept), 10)
        self.assertLessEqual(max(self.slept), loops.COALESCING_INTERVAL_S)

    def test_an_idle_loop_and_one_with_ready_callbacks_do_not_wait(self):
        self.register_ready_sockets(1)
        for _ in range(20):
            self.now += 0.05
            self.selector.select(0.1)
        self.register_ready_sockets(20)
        for _ in range(200):
            self.selector.select(0)
        self.assertEqual([], self.slept)
