"""Tests of the batched delivery of stream data."""

import asyncio
from unittest import mock

import aiohttp

from radishshift.errors import StreamBrokenError
from radishshift.pump import StreamPump
from tests.cases import TestCase


def make_reader():
    return aiohttp.StreamReader(
        mock.Mock(), limit=1 << 16, loop=asyncio.get_running_loop()
    )


class StreamPumpTest(TestCase):
    async def test_data_received_before_a_failure_is_delivered(self):
        """Guards against losing the last tokens before a connection failure.

        The stream reader raises the failure instead of returning buffered data.
        """
        content = make_reader()
        received = []
        forwarding = StreamPump().forward(
            content, 1.0, lambda d: not received.append(d)
        )
        content.feed_data(b"token")
        content.set_exception(aiohttp.ClientPayloadError("cut"))
        await self.assert_raises_async(aiohttp.ClientPayloadError, forwarding)
        self.assertEqual([b"token"], received)

    async def test_the_pump_stops_when_the_consumer_returns_false_and_resumes(self):
        content = make_reader()
        pump = StreamPump()
        received = []
        content.feed_data(b"one")
        await pump.forward(content, 1.0, lambda data: received.append(data))
        content.feed_data(b"two")
        content.feed_eof()
        await pump.forward(content, 1.0, lambda data: not received.append(data))
        self.assertEqual([b"one", b"two"], received)
        self.assertEqual(0, len(pump.streams))

    async def test_an_idle_stream_times_out(self):
        forwarding = StreamPump().forward(make_reader(), 0.05, lambda _: True)
        await self.assert_raises_async(StreamBrokenError, forwarding)

    async def test_an_error_of_one_stream_ends_only_that_one(self):
        pump = StreamPump()
        bad, good = make_reader(), make_reader()

        def refuse(_):
            raise StreamBrokenError("malformed")

        received = []
        results = asyncio.gather(
            pump.forward(bad, 1.0, refuse),
            pump.forward(good, 1.0, lambda data: not received.append(data)),
            return_exceptions=True,
        )
        for content in (bad, good):
            content.feed_data(b"data")
        await asyncio.sleep(0.01)
        good.feed_eof()
        error, _ = await results
        self.assertIsInstance(error, StreamBrokenError)
        self.assertEqual([b"data"], received)
