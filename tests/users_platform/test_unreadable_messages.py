"""Messages of peers that can't be read, or say odd things, sent to a running host."""

import json

import aiohttp
from demo import HOST, KEY, Demo

from radishshift.gateway import (
    endpoint_permits,
    explanations,
    relay_client,
    shared_placement,
)
from tests.cases import TestCase
from tests.gateway.test_gossip_messages import UNREADABLE

ODD = [*UNREADABLE, b"-1", b"1e308", b'""', b"9223372036854775807", b"true"]
PERMIT = {
    "endpoint": "llm-1",
    "born_ms": 1000,
    "data_centre": "mbeya",
    "per_s": 1.5,
    "refusals_per_s": 2,
    "slots": 6,
    "attempt": "a1/0",
    "left_s": 1.0,
}
QUESTION = {
    "host": "edge-2",
    "service": "mkulima-llm",
    "load": {"llm-1": 1.0},
    "outcomes": [["llm-1", 1.0]],
    "avoided": ["llm-2"],
    "excluded": ["llm-2"],
    "affinity": "small p",
    "shared_tokens": 500,
    "prefill_ktokens": 0.5,
    "tried": ["llm-1"],
    "version": "v1",
    "parts": [["small p", 500]],
    "prompt_tokens": 800,
}
REQUEST = {
    "request_id": "r1",
    "method": "GET",
    "host": HOST,
    "target": "/check/x",
    "headers": [["Accept", "*/*"]],
    "body": "",
    "deadline": 1.0,
    "received_at": 0.0,
}
ROUTE = {
    "name": "check-booking",
    "host": HOST,
    "prefix": "/check/",
    "kind": "idempotent",
    "shares": [{"service": "ring-desk", "weight": 1.0}],
    "timeout_s": 1.0,
    "objective_s": 0.25,
    "endpoints_max": 2,
    "regions": [],
}
ORDER = {
    "sender": "edge-2",
    "req": REQUEST,
    "route": ROUTE,
    "service": "ring-desk",
    "left_s": 1.0,
    "customer": "ring",
    "model": "",
    "last_event_id": "",
    "version": "",
    "used": [],
    "failed": [],
    "may_have_run": False,
    "may_retry": True,
}
EXPLAIN = {
    "host": HOST,
    "path": "/check/x",
    "key": KEY,
    "timeoutS": 1.0,
    "parts": [["p", 5]],
    "promptTokens": 10,
}
MESSAGES = {
    endpoint_permits.PATH: PERMIT,
    endpoint_permits.ENDED_PATH: PERMIT | {"refused": False},
    shared_placement.PATH: QUESTION,
    relay_client.PATH: ORDER,
    explanations.PATH: EXPLAIN,
}


def _with_odd(values):
    """Yield the JSON of a message, each time with one odd value, and odd messages."""
    yield from ODD
    for field in values:
        sound = {
            name: json.dumps(value).encode()
            for name, value in values.items()
            if name != field
        }
        for odd in ODD:
            members = {**sound, field: odd}
            yield b"{%s}" % b",".join(
                b'"%s":%s' % (name.encode(), text) for name, text in members.items()
            )


class UnreadableMessagesTest(TestCase):
    async def test_an_odd_message_of_a_peer_never_causes_an_internal_error(self):
        """Guards rule RECOVER: what one writer sends must cost that message alone."""
        demo = Demo()
        await demo.start()
        try:
            async with aiohttp.ClientSession() as session:
                for path, values in MESSAGES.items():
                    await self._check(demo.gateway_host, session, path, values)
            self.assertEqual(0, demo.gateway_host._background.failures)
        finally:
            await demo.stop()

    async def _check(self, host, session, path, values):
        settings = host.settings
        explains = path == explanations.PATH
        address = settings.metrics_address if explains else settings.peer_address
        sound = json.dumps(values).encode()
        statuses = {}
        for body in (sound, *_with_odd(values)):
            async with session.post(f"http://{address}{path}", data=body) as resp:
                await resp.read()
                statuses[body] = resp.status
        self.assertEqual(200, statuses[sound], path)
        failed = {body[:200] for body, each in statuses.items() if each >= 500}
        self.assertEqual(set(), failed, path)
