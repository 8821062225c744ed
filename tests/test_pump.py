"""Tests of the pump of streams."""

import asyncio
from unittest import mock

import aiohttp

from radishshift.errors import StreamBrokenError
from radishshift.pump import StreamPump
from tests.cases import TestCase


def reader():
    return aiohttp.StreamReader(
        mock.Mock(), limit=1 << 16, loop=asyncio.get_running_loop()
    )


class StreamPumpTest(TestCase):
    async def test_what_came_before_a_break_is_handed_on(self):
        """The last tokens before a break were withheld with the break's error."""
        content = reader()
        taken = []
        forwarding = StreamPump().forward(content, 1.0, lambda d: not taken.append(d))
        content.feed_data(b"token")
        content.set_exception(aiohttp.ClientPayloadError("cut"))
        await self.assert_raises_async(aiohttp.ClientPayloadError, forwarding)
        self.assertEqual([b"token"], taken)

    async def test_it_stops_when_told_and_goes_on_where_it_was(self):
        content = reader()
        pump = StreamPump()
        taken = []
        content.feed_data(b"one")
        await pump.forward(content, 1.0, lambda data: taken.append(data))
        content.feed_data(b"two")
        content.feed_eof()
        await pump.forward(content, 1.0, lambda data: not taken.append(data))
        self.assertEqual([b"one", b"two"], taken)
        self.assertEqual(0, len(pump.streams))

    async def test_a_silent_stream_is_given_up(self):
        forwarding = StreamPump().forward(reader(), 0.05, lambda _: True)
        await self.assert_raises_async(StreamBrokenError, forwarding)

    async def test_an_error_of_one_stream_ends_only_that_one(self):
        pump = StreamPump()
        bad, good = reader(), reader()

        def refuse(_):
            raise StreamBrokenError("malformed")

        taken = []
        ends = asyncio.gather(
            pump.forward(bad, 1.0, refuse),
            pump.forward(good, 1.0, lambda data: not taken.append(data)),
            return_exceptions=True,
        )
        for content in (bad, good):
            content.feed_data(b"data")
        await asyncio.sleep(0.01)
        good.feed_eof()
        error, _ = await ends
        self.assertIsInstance(error, StreamBrokenError)
        self.assertEqual([b"data"], taken)
