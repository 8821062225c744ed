"""Tests of a whole host on the users' platform, over loopback."""

import asyncio
import copy
from contextlib import asynccontextmanager

import aiohttp
from demo import CONFIG, HOST, KEY, Demo

from tests.cases import TestCase

BASE = {"Host": HOST, "X-Key": KEY, "X-Attempt-Id": "a1", "X-Deadline-Ms": "4000"}
STREAM = {"X-Model": "*", "X-Token-Usage": "800,50"}
EVENTS = "".join(f"id: {number}\ndata: tokens\n\n" for number in range(1, 11)).encode()


async def _until(look, limit_s=5.0):
    """Wait until something holds, or for a good while."""
    deadline = asyncio.get_running_loop().time() + limit_s
    while not look() and asyncio.get_running_loop().time() < deadline:
        await asyncio.sleep(0.01)
    return look()


@asynccontextmanager
async def _up():
    held = Demo()
    await held.start()
    async with aiohttp.ClientSession(auto_decompress=False) as session:
        held.session = session
        try:
            yield held
        finally:
            if not held.host_task.done():
                await held.stop()


async def _ask(held, path="/check/x", method="GET", data=None, **headers):
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    async with held.session.request(
        method, f"http://{held.address}{path}", data=data, headers=BASE | named
    ) as resp:
        return resp.status, resp.headers, await resp.read()


async def _raw(held, text):
    """Send bytes on a connection of their own; return all that comes."""
    reader, writer = await asyncio.open_connection(*held.address.split(":"))
    writer.write(text.encode())
    data = await asyncio.wait_for(reader.read(), 10)
    writer.close()
    return data


def _ran(held, service=""):
    return [
        run
        for name, endpoint in held.endpoints.items()
        if name.startswith(service)
        for run in endpoint.ran
    ]


class RequestsTest(TestCase):
    async def test_what_is_sent_comes_unchanged_but_for_our_own_headers(self):
        async with _up() as held:
            forged = {
                "X-Tenant": "other",
                "X-Retain": "1",
                "X-Pin-Ms": "9",
                "Kv-From": "10.0.0.1:1/x",
                "X-Kv-Backup": "10.0.0.1:1",
                "X-Expect-Replica": "i-other",
                "X-Own": "kept",
            }
            status, headers, body = await _ask(
                held, "/book/a%2Fb?x=%20y", "POST", b"z" * 200_000, **forged
            )
            path, sent, whole = _ran(held)[0]
        self.assertEqual((200, b"whole answer"), (status, body))
        self.assertIn("X-Replica-Signature", headers)
        self.assertEqual("/book/a%2Fb?x=%20y", path)
        self.assertEqual(200_000, len(whole))
        self.assertEqual(("ring", "kept"), (sent["X-Tenant"], sent["X-Own"]))
        self.assertNotIn("X-Key", sent)
        for name in ("X-Retain", "X-Pin-Ms", "Kv-From", "X-Kv-Backup"):
            self.assertNotIn(name, sent)

    async def test_a_chunked_body_comes_whole(self):
        async with _up() as held:

            async def parts():
                for _ in range(5):
                    yield b"12345"
                    await asyncio.sleep(0.01)

            status, _, _ = await _ask(held, "/book/x", "POST", parts())
            self.assertEqual((200, b"12345" * 5), (status, _ran(held)[0][2]))

    async def test_a_request_inside_another_is_not_run(self):
        inner = f"GET /check/smuggled HTTP/1.1\r\nHost: {HOST}\r\nX-Key: {KEY}\r\n\r\n"
        heads = "".join(f"{name}: {value}\r\n" for name, value in BASE.items())
        text = (
            f"POST /book/x HTTP/1.1\r\n{heads}Content-Length: {len(inner)}\r\n"
            f"Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n0\r\n\r\n{inner}"
        )
        async with _up() as held:
            await _raw(held, text)
            self.assertNotIn("/check/smuggled", [path for path, _, _ in _ran(held)])

    async def test_two_requests_at_once_are_answered_in_order(self):
        heads = "".join(f"{name}: {value}\r\n" for name, value in BASE.items())
        one = f"GET /check/1 HTTP/1.1\r\n{heads}\r\n"
        two = f"GET /check/2 HTTP/1.1\r\n{heads}Connection: close\r\n\r\n"
        async with _up() as held:
            data = await _raw(held, one + two)
            self.assertEqual(
                ["/check/1", "/check/2"], [path for path, _, _ in _ran(held)]
            )
        self.assertEqual(2, data.count(b"HTTP/1.1 200"))

    async def test_a_stream_is_resumed_within_one_answer(self):
        async with _up() as held:
            for endpoint in held.endpoints.values():
                endpoint.gap_s = 0.05
            held.endpoints["llm-1"].set_faults(resets_within=True)
            held.endpoints["llm-2"].set_faults(resets_within=True)

            async def heal():
                await _until(lambda: len(_ran(held, "llm")) > 2)
                for endpoint in held.endpoints.values():
                    endpoint.set_faults()

            task = asyncio.create_task(heal())
            status, _, body = await _ask(held, "/plan/x", "POST", b"p", **STREAM)
            await task
        self.assertEqual((200, EVENTS), (status, body))

    async def test_a_caller_that_leaves_ends_the_work(self):
        async with _up() as held:
            for endpoint in held.endpoints.values():
                endpoint.gap_s = 30.0
            task = asyncio.create_task(
                _ask(held, "/plan/x", "POST", b"p", X_Last="", **STREAM)
            )
            await _until(lambda: len(_ran(held, "llm")) == 2)
            await asyncio.sleep(0.1)
            task.cancel()
            left = await _until(
                lambda: (
                    sum(held.endpoints[name].aborted_count for name in held.endpoints)
                    == 2
                )
            )
            self.assertTrue(left)


class ChangesTest(TestCase):
    async def test_a_configuration_is_in_force_once_the_store_has_it(self):
        async with _up() as held:
            config = copy.deepcopy(CONFIG) | {"version": 5}
            config["tenants"] = [{"name": "mill", "apiKeys": ["new"]}]
            held.store.put("config", "main", config)
            await _until(lambda: held.gateway_host.host_view.version == 5)
            self.assertEqual(401, (await _ask(held))[0])
            self.assertEqual(200, (await _ask(held, X_Key="new"))[0])

    async def test_a_leaving_endpoint_gets_no_more(self):
        async with _up() as held:
            held.platform.register("desk-1", "ring-desk", state="draining")
            await _until(lambda: "desk-1" not in held.gateway_host.host_view.members)
            for _ in range(4):
                await _ask(held)
            self.assertEqual([], held.endpoints["desk-1"].ran)

    async def test_an_endpoint_under_a_used_address_runs_nothing_for_the_old(self):
        async with _up() as held:
            held.endpoints["desk-1"].name = "another"
            held.endpoints["desk-2"].name = "other"
            status, headers, _ = await _ask(held, "/book/x", "POST", b"b")
            self.assertEqual((503, []), (status, _ran(held)))
            self.assertIn("Retry-After", headers)

    async def test_without_the_store_a_host_goes_on(self):
        async with _up() as held:
            held.store.faults.status = 503
            await _until(
                lambda: held.gateway_host.platform.unavailable_since is not None
            )
            self.assertEqual(200, (await _ask(held))[0])
            self.assertTrue(held.gateway_host.ready())

    async def test_settings_that_cannot_be_read_are_left(self):
        async with _up() as held:
            before = held.gateway_host.settings
            held.write_settings("nodeName = 3")
            held.gateway_host._reload.set()
            await asyncio.sleep(0.1)
            self.assertEqual(before, held.gateway_host.settings)

    async def test_a_roll_out_is_completed(self):
        async with _up() as held:
            await held.platform.add_endpoint("llm-3", "mkulima-llm", version="v2")
            order = {"service": "mkulima-llm", "target": "v2", "durationS": 2}
            held.store.put("rollouts", "mkulima-llm", order)

            def state():
                status = held.store.objects_by_kind["rollouts"]["mkulima-llm"]["status"]
                return status and status["state"]

            self.assertTrue(await _until(lambda: state() == "completed", 10))
            await _ask(held, "/plan/x", "POST", b"p", **STREAM)
            self.assertTrue(held.endpoints["llm-3"].ran)


class LifeTest(TestCase):
    async def test_readiness_and_metrics(self):
        async with _up() as held:
            settings = held.gateway_host.settings
            await _ask(held)
            for address, path, status in (
                (settings.ready_address, "/-/readyz", 200),
                (settings.ready_address, "/other", 404),
            ):
                async with held.session.get(f"http://{address}{path}") as resp:
                    self.assertEqual(status, resp.status)
            url = f"http://{settings.metrics_address}/metrics"
            async with held.session.get(url) as resp:
                text = await resp.text()
        self.assertIn("radishshift_requests_total", text)
        self.assertIn("http_server_request_duration_seconds_bucket", text)
        self.assertIn("radishshift_configuration_version", text)

    async def test_a_stopping_host_finishes_what_it_has_begun(self):
        async with _up() as held:
            for endpoint in held.endpoints.values():
                endpoint.gap_s = 0.1
            task = asyncio.create_task(_ask(held, "/book/x", "POST", b"b"))
            await _until(lambda: _ran(held))
            held.gateway_host.stop("test")
            self.assertFalse(held.gateway_host.ready())
            status, headers, body = await task
            self.assertEqual((200, b"whole answer"), (status, body))
            self.assertEqual("close", headers["Connection"])
            await held.host_task
            await held._stack.aclose()
