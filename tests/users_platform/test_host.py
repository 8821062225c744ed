"""End-to-end tests of one host on the simulated users' platform, over loopback."""

import asyncio
import copy
import socket
from contextlib import asynccontextmanager
from unittest import mock

import aiohttp
from demo import CONFIG, HOST, KEY, Demo
from users_platform import standins

from radishshift.gateway import gateway_host
from tests.cases import TestCase

BASE_HEADERS = {
    "Host": HOST,
    "X-Key": KEY,
    "X-Attempt-Id": "a1",
    "X-Deadline-Ms": "4000",
}
STREAM_HEADERS = {"X-Model": "*", "X-Token-Usage": "800,50"}
EVENTS = "".join(f"id: {number}\ndata: tokens\n\n" for number in range(1, 11)).encode()


async def _wait_until(condition, timeout_s=5.0):
    """Wait until a condition is true or the time is over; return its last value."""
    deadline = asyncio.get_running_loop().time() + timeout_s
    while not condition() and asyncio.get_running_loop().time() < deadline:
        await asyncio.sleep(0.01)
    return condition()


@asynccontextmanager
async def _running_demo():
    demo = Demo()
    await demo.start()
    async with aiohttp.ClientSession(auto_decompress=False) as session:
        demo.session = session
        try:
            yield demo
        finally:
            if not demo.host_task.done():
                await demo.stop()


def _outlive_window(demo):
    """Give the host its share of the slack, as one that has run for a while has it."""
    demo.gateway_host.dispatcher.slack_share.usable_from = 0.0


async def _send(demo, path="/check/x", method="GET", data=None, **headers):
    extra = {name.replace("_", "-"): value for name, value in headers.items()}
    async with demo.session.request(
        method, f"http://{demo.address}{path}", data=data, headers=BASE_HEADERS | extra
    ) as resp:
        return resp.status, resp.headers, await resp.read()


async def _send_raw(demo, text):
    """Send raw bytes on a new connection; return all bytes received."""
    reader, writer = await asyncio.open_connection(*demo.address.split(":"))
    writer.write(text.encode() if isinstance(text, str) else text)
    data = await asyncio.wait_for(reader.read(), 10)
    writer.close()
    return data


def _executed(demo, service=""):
    return [
        run
        for name, endpoint in demo.endpoints.items()
        if name.startswith(service)
        for run in endpoint.ran
    ]


class RequestsTest(TestCase):
    async def test_overlong_numbers_of_a_caller_count_as_missing(self):
        """A request with a token count of 400 digits was answered 500."""
        async with _running_demo() as demo:
            for header in ("X_Token_Usage", "X_Deadline_Ms"):
                status, _, _ = await _send(demo, **{header: "9" * 400})
                self.assertEqual(200, status, header)

    async def test_requests_are_forwarded_unchanged_without_reserved_headers(self):
        async with _running_demo() as demo:
            forged = {
                "X-Tenant": "other",
                "X-Retain": "1",
                "X-Pin-Ms": "9",
                "Kv-From": "10.0.0.1:1/x",
                "X-Kv-Backup": "10.0.0.1:1",
                "X-Expect-Replica": "i-other",
                "X-Own": "kept",
            }
            status, headers, body = await _send(
                demo, "/book/a%2Fb?x=%20y", "POST", b"z" * 200_000, **forged
            )
            path, sent, received_body = _executed(demo)[0]
        self.assertEqual((200, b"whole answer"), (status, body))
        self.assertIn("X-Replica-Signature", headers)
        self.assertEqual("/book/a%2Fb?x=%20y", path)
        self.assertEqual(200_000, len(received_body))
        self.assertEqual(("ring", "kept"), (sent["X-Tenant"], sent["X-Own"]))
        self.assertNotIn("X-Key", sent)
        for name in ("X-Retain", "X-Pin-Ms", "Kv-From", "X-Kv-Backup"):
            self.assertNotIn(name, sent)

    async def test_header_bytes_that_are_not_utf8_pass_as_they_came(self):
        """An ID lost its byte, so no answer was its own, and all endpoints ran it."""
        odd = "s\udcff".encode(errors="surrogateescape")
        names = ("X-Attempt-Id", "Session", "X-Prefix-Hash", "X-Own")
        lines = [f"{name}: {value}" for name, value in BASE_HEADERS.items()]
        lines = [line for line in lines if not line.startswith("X-Attempt-Id")]
        head = "\r\n".join(["POST /book/x HTTP/1.1", *lines, "Content-Length: 1", ""])
        data = head.encode() + b"".join(
            b"%s: %s\r\n" % (n.encode(), odd) for n in names
        )
        async with _running_demo() as demo:
            answer = await _send_raw(demo, data + b"Connection: close\r\n\r\nz")
            runs = _executed(demo)
        self.assertIn(b"HTTP/1.1 200", answer)
        self.assertIn(b"X-Attempt-Id: %s\r\n" % odd, answer)
        self.assertEqual(1, len(runs))
        self.assertEqual(["s\udcff"] * len(names), [runs[0][1][name] for name in names])

    async def test_an_error_names_an_id_that_is_not_utf8(self):
        async with _running_demo() as demo:
            host = f"Host: {HOST}\r\nX-Attempt-Id: a".encode()
            data = b"GET /check/x HTTP/1.1\r\n%s\xff\r\nConnection: close\r\n\r\n"
            answer = await _send_raw(demo, data % host)
        self.assertIn(b"HTTP/1.1 401", answer)
        self.assertIn(rb'"request_id":"a\\udcff"', answer)

    async def test_bodies_beyond_the_memory_are_rejected_as_not_run(self):
        """Twenty bodies of 8 MB at once would end a host of 128 MB."""
        async with _running_demo() as demo:
            host = demo.gateway_host
            host.held_bytes._budget = 300_000

            async def chunks():
                yield b"z" * 200_000

            held = host.held_bytes.acquire(200_000)
            for data in (b"z" * 200_000, chunks()):
                status, headers, body = await _send(demo, "/book/x", "POST", data)
                self.assertEqual((503, True), (status, "Retry-After" in headers))
                self.assertIn(b"not-run", body)
            self.assertEqual([], _executed(demo))
            host.held_bytes.release(200_000)
            status, _, _ = await _send(demo, "/book/x", "POST", b"z" * 200_000)
            self.assertEqual((True, 200), (held, status))
            await _wait_until(lambda: not host.held_bytes.total)
            self.assertEqual((0, 2), (host.held_bytes.total, host.held_bytes.rejected))

    async def test_a_chunked_body_is_forwarded_completely(self):
        async with _running_demo() as demo:

            async def chunks():
                for _ in range(5):
                    yield b"12345"
                    await asyncio.sleep(0.01)

            status, _, _ = await _send(demo, "/book/x", "POST", chunks())
            self.assertEqual((200, b"12345" * 5), (status, _executed(demo)[0][2]))

    async def test_a_smuggled_request_is_not_run(self):
        """A body with both framings must not be read as a second request."""
        inner = f"GET /check/smuggled HTTP/1.1\r\nHost: {HOST}\r\nX-Key: {KEY}\r\n\r\n"
        head = "".join(f"{name}: {value}\r\n" for name, value in BASE_HEADERS.items())
        text = (
            f"POST /book/x HTTP/1.1\r\n{head}Content-Length: {len(inner)}\r\n"
            f"Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n0\r\n\r\n{inner}"
        )
        async with _running_demo() as demo:
            await _send_raw(demo, text)
            self.assertNotIn(
                "/check/smuggled", [path for path, _, _ in _executed(demo)]
            )

    async def test_pipelined_requests_are_answered_in_order(self):
        head = "".join(f"{name}: {value}\r\n" for name, value in BASE_HEADERS.items())
        one = f"GET /check/1 HTTP/1.1\r\n{head}\r\n"
        two = f"GET /check/2 HTTP/1.1\r\n{head}Connection: close\r\n\r\n"
        async with _running_demo() as demo:
            data = await _send_raw(demo, one + two)
            self.assertEqual(
                ["/check/1", "/check/2"], [path for path, _, _ in _executed(demo)]
            )
        self.assertEqual(2, data.count(b"HTTP/1.1 200"))

    async def test_a_broken_stream_is_resumed_within_one_answer(self):
        async with _running_demo() as demo:
            _outlive_window(demo)
            for endpoint in demo.endpoints.values():
                endpoint.gap_s = 0.05
            demo.endpoints["llm-1"].set_faults(resets_within=True)
            demo.endpoints["llm-2"].set_faults(resets_within=True)

            async def clear_faults():
                await _wait_until(lambda: len(_executed(demo, "llm")) > 2)
                for endpoint in demo.endpoints.values():
                    endpoint.set_faults()

            task = asyncio.create_task(clear_faults())
            status, _, body = await _send(
                demo, "/plan/x", "POST", b"p", **STREAM_HEADERS
            )
            await task
        self.assertEqual((200, EVENTS), (status, body))

    async def test_a_stream_that_ends_inside_an_event_is_resumed(self):
        """Without a length or chunks, such an end looks like that of the body."""
        for unframed in (False, True):
            async with _running_demo() as demo:
                _outlive_window(demo)
                for endpoint in demo.endpoints.values():
                    endpoint.ends_within_event = True
                    endpoint.set_faults(unframed=unframed)

                async def end_streams_whole(demo=demo):
                    await _wait_until(lambda: len(_executed(demo, "llm")) > 2)
                    for endpoint in demo.endpoints.values():
                        endpoint.ends_within_event = False

                task = asyncio.create_task(end_streams_whole())
                status, _, body = await _send(
                    demo, "/plan/x", "POST", b"p", **STREAM_HEADERS
                )
                await task
                runs = _executed(demo, "llm")
            self.assertEqual((200, EVENTS), (status, body), f"unframed: {unframed}")
            resumed_after = [headers.get("Last-Event-ID") for _, headers, _ in runs]
            self.assertIn("1", resumed_after)

    async def test_a_stream_that_always_ends_inside_an_event_is_not_ended_whole(self):
        for unframed in (False, True):
            async with _running_demo() as demo:
                for endpoint in demo.endpoints.values():
                    endpoint.ends_within_event = True
                    endpoint.set_faults(unframed=unframed)
                sending = _send(demo, "/plan/x", "POST", b"p", **STREAM_HEADERS)
                await self.assert_raises_async(aiohttp.ClientError, sending)

    async def test_an_unframed_stream_is_forwarded_completely(self):
        async with _running_demo() as demo:
            for endpoint in demo.endpoints.values():
                endpoint.set_faults(unframed=True)
            status, _, body = await _send(
                demo, "/plan/x", "POST", b"p", **STREAM_HEADERS
            )
        self.assertEqual((200, EVENTS), (status, body))

    async def test_a_client_disconnect_cancels_the_work(self):
        async with _running_demo() as demo:
            for endpoint in demo.endpoints.values():
                endpoint.gap_s = 30.0
            task = asyncio.create_task(
                _send(demo, "/plan/x", "POST", b"p", X_Last="", **STREAM_HEADERS)
            )
            await _wait_until(lambda: len(_executed(demo, "llm")) == 2)
            await asyncio.sleep(0.1)
            task.cancel()
            cancelled = await _wait_until(
                lambda: (
                    sum(demo.endpoints[name].aborted_count for name in demo.endpoints)
                    == 2
                )
            )
            self.assertTrue(cancelled)


class ChangesTest(TestCase):
    async def test_a_stored_configuration_is_applied(self):
        async with _running_demo() as demo:
            config = copy.deepcopy(CONFIG) | {"version": 5}
            config["tenants"] = [{"name": "mill", "apiKeys": ["new"]}]
            demo.store.put("config", "main", config)
            await _wait_until(lambda: demo.gateway_host.host_view.version == 5)
            self.assertEqual(401, (await _send(demo))[0])
            self.assertEqual(200, (await _send(demo, X_Key="new"))[0])

    async def test_a_draining_endpoint_gets_no_requests(self):
        async with _running_demo() as demo:
            demo.platform.register("desk-1", "ring-desk", state="draining")
            await _wait_until(
                lambda: "desk-1" not in demo.gateway_host.host_view.members
            )
            for _ in range(4):
                await _send(demo)
            self.assertEqual([], demo.endpoints["desk-1"].ran)

    async def test_an_endpoint_that_reuses_an_address_gets_no_requests_for_the_old(
        self,
    ):
        async with _running_demo() as demo:
            demo.endpoints["desk-1"].name = "another"
            demo.endpoints["desk-2"].name = "other"
            status, headers, _ = await _send(demo, "/book/x", "POST", b"b")
            self.assertEqual((503, []), (status, _executed(demo)))
            self.assertIn("Retry-After", headers)

    async def test_a_host_keeps_serving_while_the_store_is_unavailable(self):
        async with _running_demo() as demo:
            demo.store.faults.status = 503
            await _wait_until(
                lambda: demo.gateway_host.platform.unavailable_since is not None
            )
            self.assertEqual(200, (await _send(demo))[0])
            self.assertTrue(demo.gateway_host.ready())

    async def test_invalid_settings_are_ignored(self):
        async with _running_demo() as demo:
            before = demo.gateway_host.settings
            demo.write_settings("nodeName = 3")
            demo.gateway_host._reload.set()
            await asyncio.sleep(0.1)
            self.assertEqual(before, demo.gateway_host.settings)

    async def test_a_roll_out_is_completed(self):
        async with _running_demo() as demo:
            await demo.platform.add_endpoint("llm-3", "mkulima-llm", version="v2")
            order = {"service": "mkulima-llm", "target": "v2", "durationS": 2}
            demo.store.put("rollouts", "mkulima-llm", order)

            def state():
                status = demo.store.objects_by_kind["rollouts"]["mkulima-llm"]["status"]
                return status and status["state"]

            self.assertTrue(await _wait_until(lambda: state() == "completed", 10))
            await _send(demo, "/plan/x", "POST", b"p", **STREAM_HEADERS)
            self.assertTrue(demo.endpoints["llm-3"].ran)


class LifecycleTest(TestCase):
    async def test_readiness_and_metrics(self):
        async with _running_demo() as demo:
            settings = demo.gateway_host.settings
            await _send(demo)
            for address, path, status in (
                (settings.ready_address, "/-/readyz", 200),
                (settings.ready_address, "/other", 404),
            ):
                async with demo.session.get(f"http://{address}{path}") as resp:
                    self.assertEqual(status, resp.status)
            url = f"http://{settings.metrics_address}/metrics"
            async with demo.session.get(url) as resp:
                text = await resp.text()
        self.assertIn("radishshift_requests_total", text)
        self.assertIn("http_server_request_duration_seconds_bucket", text)
        self.assertIn("radishshift_configuration_version", text)

    async def test_a_stopping_host_completes_requests_in_flight(self):
        async with _running_demo() as demo:
            for endpoint in demo.endpoints.values():
                endpoint.gap_s = 0.1
            task = asyncio.create_task(_send(demo, "/book/x", "POST", b"b"))
            await _wait_until(lambda: _executed(demo))
            demo.gateway_host.stop("test")
            self.assertFalse(demo.gateway_host.ready())
            status, headers, body = await task
            self.assertEqual((200, b"whole answer"), (status, body))
            self.assertEqual("close", headers["Connection"])
            await demo.host_task
            await demo._stack.aclose()

    async def test_a_request_read_after_the_drain_is_not_taken_and_given_up(self):
        """A request on a kept connection ran while the process that took it ended."""
        headers = BASE_HEADERS | {"X-Deadline-Ms": "500", "Content-Length": "1"}
        head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        text = f"POST /book/x HTTP/1.1\r\n{head}\r\nb"
        async with _running_demo() as demo:
            host = demo.gateway_host
            reader, writer = await asyncio.open_connection(*demo.address.split(":"))
            drain = host._drain

            async def drain_then_receive():
                await drain()
                writer.write(text.encode())

            async def end_slowly():
                try:
                    await asyncio.Event().wait()
                finally:
                    await _wait_until(lambda: _executed(demo), 0.1)

            with (
                mock.patch.object(gateway_host, "MIN_DRAIN_S", 0.1),
                mock.patch.object(host, "_drain", drain_then_receive),
            ):
                host._background.spawn("slow", end_slowly())
                await asyncio.sleep(0)
                host.stop("test")
                await demo.host_task
            self.assertEqual([], _executed(demo))
            answer = await asyncio.wait_for(reader.read(), 10)
            writer.close()
            self.assertIn(b" 503 ", answer.splitlines()[0])
            self.assertIn(b"connection: close", answer.lower())
            await demo._stack.aclose()

    async def test_an_answer_leaves_the_host_before_the_process_ends(self):
        """Up to 64 KB for a slow caller stayed in the connection's write buffer."""
        head = "".join(f"{name}: {value}\r\n" for name, value in BASE_HEADERS.items())
        request = f"GET /check/x HTTP/1.1\r\n{head}\r\n"
        loop = asyncio.get_running_loop()
        async with _running_demo() as demo:
            host = demo.gateway_host
            sock = socket.socket()
            self.addCleanup(sock.close)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            ip, _, port = demo.address.partition(":")
            await loop.sock_connect(sock, (ip, int(port)))
            await _wait_until(lambda: host._caller_server.connections)
            (connection,) = host._caller_server.connections
            transport = connection.transport
            transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, 4096
            )

            async def read_slowly():
                while await loop.sock_recv(sock, 2048):
                    await asyncio.sleep(0.02)

            with (
                mock.patch.object(gateway_host, "MIN_DRAIN_S", 0.1),
                mock.patch.object(standins, "ANSWER_TEXT", "x" * 50_000),
            ):
                await loop.sock_sendall(sock, request.encode())
                await _wait_until(lambda: _executed(demo))
                await _wait_until(lambda: not host.request_path.in_flight)
                host.stop("test")
                reading = asyncio.create_task(read_slowly())
                await demo.host_task
                unsent_bytes = transport.get_write_buffer_size()
            await reading
            await demo._stack.aclose()
        self.assertEqual(0, unsent_bytes)

    async def test_a_host_that_stops_by_itself_gives_up_no_request(self):
        """A stream was cut off for the time that the platform's signal would leave."""
        async with _running_demo() as demo:
            for endpoint in demo.endpoints.values():
                endpoint.gap_s = 0.2
            sending = asyncio.create_task(
                _send(demo, "/plan/x", "POST", b"p", **STREAM_HEADERS)
            )
            await _wait_until(lambda: _executed(demo))

            demo.gateway_host.stop("of its own")
            await asyncio.wait((sending,))
            await demo.host_task
            await demo._stack.aclose()
        self.assertIsNone(sending.exception())
        self.assertEqual(EVENTS, sending.result()[2])

    async def test_an_unexpected_error_in_a_task_does_not_stop_the_host(self):
        """It began a stop, in which the host drained and its process ended."""
        async with _running_demo() as demo:

            async def fail():
                raise KeyError("not expected")

            host = demo.gateway_host
            host._background.spawn("failing", fail())
            await _wait_until(lambda: host._background.failures)
            status, _, _ = await _send(demo)
            self.assertEqual((200, False), (status, host.stopping))

    async def test_a_stopping_host_answers_a_pipelined_request(self):
        """The first answer closed the connection and the second request was dropped."""
        head = "".join(f"{name}: {value}\r\n" for name, value in BASE_HEADERS.items())
        text = "".join(f"GET /check/{n} HTTP/1.1\r\n{head}\r\n" for n in (1, 2))
        async with _running_demo() as demo:
            for endpoint in demo.endpoints.values():
                endpoint.gap_s = 0.2
            reader, writer = await asyncio.open_connection(*demo.address.split(":"))
            writer.write(text.encode())
            await _wait_until(lambda: _executed(demo))
            demo.gateway_host.stop("test")
            data = await asyncio.wait_for(reader.read(), 10)
            writer.close()
            await demo.host_task
            await demo._stack.aclose()
        self.assertEqual(2, data.count(b"HTTP/1.1 "))

    async def test_a_stopping_host_answers_a_request_behind_a_stream_that_pauses(self):
        """Guards rule LOST: silence ended the stream, and its end the connection."""
        plan = "".join(
            f"{name}: {value}\r\n"
            for name, value in (BASE_HEADERS | STREAM_HEADERS).items()
        )
        check = "".join(f"{name}: {value}\r\n" for name, value in BASE_HEADERS.items())
        text = (
            f"POST /plan/x HTTP/1.1\r\n{plan}Content-Length: 0\r\n\r\n"
            f"GET /check/2 HTTP/1.1\r\n{check}\r\n"
        )
        async with _running_demo() as demo:
            for endpoint in demo.endpoints.values():
                endpoint.gap_s = 0.02
            reader, writer = await asyncio.open_connection(*demo.address.split(":"))
            writer.write(text.encode())
            await _wait_until(lambda: _executed(demo))
            for endpoint in demo.endpoints.values():
                endpoint.gap_s = 1.4
            demo.gateway_host.stop("test")
            await asyncio.sleep(0.1)
            for endpoint in demo.endpoints.values():
                endpoint.gap_s = 0.02
            data = await asyncio.wait_for(reader.read(), 10)
            writer.close()
            await demo.host_task
            await demo._stack.aclose()
        self.assertEqual(2, data.count(b"HTTP/1.1 200"))
        self.assertIn(b"id: 10\n", data)
        self.assertIn(b"answer", data.rpartition(b"id: 10\n")[2])

    async def test_connections_are_closed_before_the_parts_of_a_stopping_host(self):
        async with _running_demo() as demo:
            host = demo.gateway_host
            reader, writer = await asyncio.open_connection(*demo.address.split(":"))
            received = []

            async def end_slowly():
                try:
                    await asyncio.Event().wait()
                finally:
                    received.append(await asyncio.wait_for(reader.read(), 5))

            with mock.patch.object(gateway_host, "MIN_DRAIN_S", 0.1):
                host._background.spawn("slow", end_slowly())
                await asyncio.sleep(0)
                host.stop("test")
                await demo.host_task
            writer.close()
            await demo._stack.aclose()
        self.assertEqual([b""], received)
