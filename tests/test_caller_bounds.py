"""Tests of the bounds of what callers make an entry host hold."""

import asyncio
import json
from unittest import mock

from radishshift import caller_bounds
from radishshift.caller_bounds import CallerBounds
from radishshift.decisions.held_bytes import REQUEST_BYTES
from radishshift.settings import BoundSettings, TimeSettings
from radishshift.standins.deployment import KEY
from tests.cases import TestCase
from tests.served import FAST, VERSION, served
from tests.test_attempts import WORDS, words_of

BODY = json.dumps({"model": VERSION, "prompt": "Hello"}).encode()


def head_of(length, *lines):
    lines = [
        "POST /v1/completions HTTP/1.1",
        "Host: entry",
        f"Authorization: Bearer {KEY}",
        f"Content-Length: {length}",
        *lines,
    ]
    return "".join(f"{line}\r\n" for line in (*lines, "")).encode()


class CallerBoundsTest(TestCase):
    async def connect(self, entry, data):
        ip, port = entry.host.address.removeprefix("http://").split(":")
        reader, writer = await asyncio.open_connection(ip, port)
        self.addCleanup(writer.transport.abort)
        writer.write(data)
        return reader, writer

    async def read_error(self, reader):
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.partition(b"Content-Length: ")[2].split()[0])
        return head, json.loads(await reader.readexactly(length))["error"]

    async def test_a_body_that_stalls_gives_its_memory_to_the_next_request(self):
        bounds = BoundSettings(requests=1, body_bytes=1000)
        async with served(bounds=bounds) as entry:
            reader, _ = await self.connect(entry, head_of(900) + b"{")
            while not entry.host.connections.held.total:
                await asyncio.sleep(0.01)
            while True:
                async with entry.post(BODY, path="completions") as resp:
                    if resp.status == 200:
                        break
                    error = (await resp.json())["error"]
                    self.assertEqual(503, resp.status)
                    self.assertEqual("not-run", error["verdict"])
                    self.assertIn("Retry-After", resp.headers)
                await asyncio.sleep(0.1)
            head, error = await self.read_error(reader)
            self.assertIn(b"503", head)
            self.assertIn(b"Retry-After", head)
            self.assertEqual("not-run", error["verdict"])
            self.assertEqual(1, entry.run_count())
            self.assertEqual(0, await entry.wait_until_idle())

    async def test_a_head_over_the_size_limit_is_refused_before_it_ends(self):
        bounds = BoundSettings(header_bytes=2000)
        async with served(bounds=bounds) as entry:
            line = b"X-Flood: " + b"x" * 1000 + b"\r\n"
            start = head_of(0).removesuffix(b"\r\n")
            reader, writer = await self.connect(entry, start + line * 10)
            while not reader._buffer and not reader.at_eof():
                writer.write(line)
                await asyncio.sleep(0.01)
            head, error = await self.read_error(reader)
            self.assertIn(b"431 Request Header Fields Too Large", head)
            self.assertEqual("headers-too-large", error["code"])
            self.assertEqual("not-run", error["verdict"])

    async def test_a_connection_without_a_request_gives_way_to_a_caller(self):
        bounds = BoundSettings(connections=2)
        with mock.patch.object(caller_bounds, "SILENT_S", 0.0):
            async with served(bounds=bounds) as entry:
                silent = [await self.connect(entry, b"") for _ in range(2)]
                self.assertEqual(WORDS, words_of(await entry.chat_text()))
                reader, _ = silent[0]
                self.assertEqual(b"", await reader.read())

    async def test_the_caller_is_asked_once_to_go_on_with_its_body(self):
        async with served() as entry:
            head = head_of(len(BODY), "Expect: 100-continue", "Connection: close")
            reader, writer = await self.connect(entry, head)
            interim = await reader.readuntil(b"\r\n\r\n")
            self.assertIn(b"100 Continue", interim)
            writer.write(BODY)
            answer = await reader.read()
            self.assertTrue(answer.startswith(b"HTTP/1.1 200"))

    async def test_nothing_is_held_once_all_callers_have_left(self):
        bounds = BoundSettings(requests=4)
        async with served(bounds=bounds) as entry:
            crowd = [
                await self.connect(entry, head_of(900) + b"{" * size)
                for size in (0, 1, 899)
            ]
            crowd.append(await self.connect(entry, b"POST / HTTP/1.1\r\nX: y\r\n"))
            self.assertEqual(WORDS, words_of(await entry.chat_text()))
            for _, writer in crowd:
                writer.transport.abort()
            async with asyncio.timeout(10.0):
                while entry.host.connections.held.total:
                    await asyncio.sleep(0.01)

    async def test_one_request_fits_into_the_memory_that_is_set(self):
        bounds = BoundSettings(memory_mb=100, body_bytes=1000)
        connections = CallerBounds(bounds, TimeSettings())
        self.assertTrue(connections.held.acquire(1000 + REQUEST_BYTES))
        self.assertFalse(connections.held.acquire(1))

    def test_callers_inside_the_default_bounds_meet_no_limit_on_memory(self):
        with mock.patch.object(caller_bounds, "machine_memory_mb", lambda: 64_000.0):
            connections = CallerBounds(BoundSettings(), FAST)
        full = BoundSettings().requests * (BoundSettings().body_bytes + REQUEST_BYTES)
        self.assertTrue(connections.held.acquire(full))
