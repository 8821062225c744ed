"""Tests of how an entry host stops, with a real process and its signals."""

import asyncio
import signal
import sys
import tempfile
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp
import msgspec

from radishshift.objects import Kind
from radishshift.standins.deployment import KEY, deployed
from tests.cases import TestCase
from tests.served import VERSION, served
from tests.test_attempts import error_of, words_of

HEADERS = {"Authorization": f"Bearer {KEY}"}
BODY = {
    "model": VERSION,
    "messages": [{"role": "user", "content": "Hello"}],
    "stream": True,
}
START = "import sys; from radishshift.entry import run; sys.exit(run())"
STREAMS = 12


class EntryProcess:
    """A daemon before a deployment, and callers of it."""

    def __init__(self, process, address, session):
        self.process = process
        self.address = address
        self.session = session
        self.first_tokens = 0

    async def stream(self):
        url = f"{self.address}/v1/chat/completions"
        async with self.session.post(url, json=BODY) as resp:
            text = (await resp.content.readany()).decode()
            self.first_tokens += 1
            return text + (await resp.read()).decode()

    async def begin_streams(self):
        streams = [asyncio.ensure_future(self.stream()) for _ in range(STREAMS)]
        while self.first_tokens < STREAMS:
            await asyncio.sleep(0.01)
        return streams

    async def ready(self):
        async with self.session.get(f"{self.address}/readyz") as resp:
            return resp.status == 200

    async def until(self, ready):
        while await self.ready() is not ready:
            await asyncio.sleep(0.01)


@asynccontextmanager
async def entry_process(directory, deployment, **times):
    settings = directory / "host.jsonc"
    values = {
        "name": "mbeya-entry-1",
        "dataCentre": "mbeya",
        "region": "tz-south",
        "platform": {"address": deployment.platform_address},
        "address": {"callerPort": 0, "peerPort": 0, "metricsPort": 0},
        "times": times,
    }
    settings.write_bytes(msgspec.json.encode(values))
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-c", START, f"--settings={settings}"),
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        address = ""
        while not address:
            line = (await process.stderr.readline()).decode()
            _, _, address = line.partition("serving callers at ")
        async with aiohttp.ClientSession(headers=HEADERS) as session:
            entry = EntryProcess(process, address.split('"')[0], session)
            await entry.until(ready=True)
            yield entry
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


class StopTest(TestCase):
    def setUp(self):
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)

    async def test_a_stop_under_load_cuts_nothing_and_loses_no_bill(self):
        async with deployed() as deployment:
            for engine in deployment.engines.values():
                engine.tokens = 30
                engine.token_s = 0.02
            async with entry_process(
                self.directory, deployment, unreadyS=0.1, billBatchS=60.0
            ) as entry:
                streams = await entry.begin_streams()
                entry.process.send_signal(signal.SIGTERM)
                await entry.until(ready=False)
                await asyncio.sleep(0.2)
                url = f"{entry.address}/v1/chat/completions"
                async with entry.session.post(url, json=BODY) as resp:
                    error = (await resp.json())["error"]
                    self.assertEqual("close", resp.headers["Connection"])
                self.assertEqual("shutting-down", error["code"])
                self.assertEqual("not-run", error["verdict"])
                for text in await asyncio.gather(*streams):
                    self.assertEqual(30, len(words_of(text).split()))
                    self.assertTrue(text.endswith("data: [DONE]\n\n"))
                self.assertEqual(0, await entry.process.wait())
            batches = await deployment.platform.list_all(Kind.BILL_BATCH)
            bills = [bill for item in batches.items for bill in item.spec["bills"]]
            self.assertEqual(STREAMS, len(bills))

    async def test_a_second_signal_ends_what_runs_with_its_verdict(self):
        async with deployed() as deployment:
            for engine in deployment.engines.values():
                engine.tokens = 10_000
                engine.token_s = 0.02
            async with entry_process(self.directory, deployment) as entry:
                streams = await entry.begin_streams()
                entry.process.send_signal(signal.SIGTERM)
                await entry.until(ready=False)
                entry.process.send_signal(signal.SIGTERM)
                for text in await asyncio.gather(*streams):
                    error = error_of(text)
                    self.assertEqual("shutting-down", error["code"])
                    self.assertEqual("ran", error["verdict"])
                self.assertEqual(3, await entry.process.wait())
                log = (await entry.process.stderr.read()).decode()
                self.assertEqual(
                    STREAMS, log.count("request cancelled by shutdown: verdict")
                )
            cancelled = sum(len(e.cancelled) for e in deployment.engines.values())
            self.assertEqual(STREAMS, cancelled)

    async def test_the_stop_deadline_ends_what_runs(self):
        async with served(tokens=10_000, token_s=0.02) as entry:
            entry.host.cfg = msgspec.structs.replace(
                entry.host.cfg,
                times=msgspec.structs.replace(entry.host.cfg.times, stop_s=0.1),
            )
            async with entry.chat() as resp:
                await resp.content.readany()
                left = await entry.host.stop()
                self.assertEqual(1, len(left))
                text = (await resp.read()).decode()
            self.assertEqual("shutting-down", error_of(text)["code"])
