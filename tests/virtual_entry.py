"""Test fixture: an entry host's router before scripted endpoints, without sockets."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import msgspec

from radishshift.admission import Admission
from radishshift.answers import Answers
from radishshift.bills import Biller
from radishshift.claims import Claims
from radishshift.configuration import Configuration
from radishshift.engines import EngineClient, EngineStream, ServiceReply
from radishshift.errors import EndpointError, ResumeRefusedError, StreamStalledError
from radishshift.objects import Kind, StoredObject
from radishshift.platform import MemoryPlatform
from radishshift.requests import ModelRequest, ServiceCall
from radishshift.router import Router
from radishshift.sessions import SessionKeys
from radishshift.standins.deployment import small_catalogue
from radishshift.verdicts import Verdict
from radishshift.virtual_time import LoopClock
from tests.test_answers import RecordingSink

__all__ = [
    "CLOCK",
    "LARGE",
    "SMALL",
    "ScriptedEndpoint",
    "VirtualEntry",
    "virtual_entry",
]

CLOCK = LoopClock()
SMALL = "farm-advice-small.v1"
LARGE = "farm-advice-large.v1"
DESK = "booking-desk"
IDLE_S = 5.0


@dataclass
class ScriptedEndpoint:
    """What an endpoint does with each attempt.

    `pauses` are the times before each word of an answer, in seconds; `error` is raised
    in place of an answer.
    """

    pauses: tuple[float, ...] = (0.1, 0.1, 0.1)
    error: Exception | None = None
    resumes: bool = True
    accepts_resumes: bool = True
    serves: tuple[str, ...] = (SMALL,)
    state: str = "live"
    resumed: list[int] = field(default_factory=list)
    started: list[str] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)


class _ScriptedStream(EngineStream):
    def __init__(self, attempt_id, started_at, pauses, start):
        self._attempt_id = attempt_id
        self._instants = [started_at + sum(pauses[: n + 1]) for n in range(len(pauses))]
        self._next = start

    async def read(self):
        now = CLOCK.now()
        if self._next > len(self._instants):
            return b""
        due = now if self._next == len(self._instants) else self._instants[self._next]
        await CLOCK.sleep_until(min(due, now + IDLE_S))
        if due > now + IDLE_S:
            raise StreamStalledError("the stream was idle for too long")
        self._next += 1
        return self._event(self._next - 1)

    def _event(self, number):
        body = {"id": self._attempt_id, "choices": []}
        last = number == len(self._instants)
        if last:
            body["usage"] = {"prompt_tokens": 5, "completion_tokens": number}
        else:
            body["choices"] = [{"index": 0, "delta": {"content": f"word{number} "}}]
        event = b"id: %d\ndata: %s\n\n" % (number, msgspec.json.encode(body))
        return event + b"data: [DONE]\n\n" if last else event


class _ScriptedEngines(EngineClient):
    def __init__(self, endpoints):
        self._endpoints = endpoints
        self._attempts = {}

    @asynccontextmanager
    async def open(self, endpoint, req, version, attempt_id):
        target = self._endpoints[endpoint.name]
        target.started.append(attempt_id)
        await asyncio.sleep(0.001)
        if target.error is not None:
            raise target.error
        self._attempts[attempt_id] = CLOCK.now()
        yield _ScriptedStream(attempt_id, CLOCK.now(), target.pauses, 0)

    @asynccontextmanager
    async def resume(self, endpoint, attempt_id, events):
        target = self._endpoints[endpoint.name]
        await asyncio.sleep(0.001)
        if not target.accepts_resumes:
            raise EndpointError("no connection", verdict=Verdict.NOT_RUN)
        if not target.resumes:
            raise ResumeRefusedError("the endpoint cannot resume the stream")
        target.resumed.append(events)
        started_at = self._attempts[attempt_id]
        yield _ScriptedStream(attempt_id, started_at, target.pauses, events)

    async def call(self, endpoint, call):
        target = self._endpoints[endpoint.name]
        target.started.append(call.request_id)
        await asyncio.sleep(0.001)
        if target.error is not None:
            raise target.error
        return ServiceReply(200, "text/plain", b"done")

    async def cancel(self, endpoint, attempt_id):
        self._endpoints[endpoint.name].cancelled.append(attempt_id)


@dataclass
class VirtualEntry:
    """A router with its endpoints, and requests to it."""

    router: Router
    endpoints: dict[str, ScriptedEndpoint]

    def request(self, text="Hello", model=SMALL, task_class="season-plan", **kwargs):
        body = {"model": model, "messages": [{"role": "user", "content": text}]}
        catalogue = self.router.catalogue
        now = CLOCK.now()
        fields = {
            "request_id": text,
            "contract": catalogue.contracts["uyole-ring"],
            "task_class": catalogue.task_classes[task_class],
            "operation": "chat/completions",
            "model": model,
            "body": body,
            "body_bytes": msgspec.json.encode(body),
            "stream": True,
            "include_usage": False,
            "arrived": now,
            "deadline": now + 120.0,
        }
        return ModelRequest(**(fields | kwargs))

    async def call(self, name, path="/holders/1"):
        """Make an idempotent call of the service; return its reply."""
        catalogue = self.router.catalogue
        now = CLOCK.now()
        call = ServiceCall(
            request_id=name,
            contract=catalogue.contracts["uyole-ring"],
            task_class=catalogue.task_classes["booking"],
            service=DESK,
            method="GET",
            path=path,
            headers={},
            body=name.encode(),
            idempotent=True,
            arrived=now,
            deadline=now + 20.0,
            idempotency_key=name,
        )
        return await self.router.call_service(call)

    async def answer(self, *args, sink=None, **kwargs):
        """Answer a request; return the bytes that its caller received."""
        sink = sink or RecordingSink()
        await self.router.answer_model(self.request(*args, **kwargs), sink)
        return sink.data


async def virtual_entry(endpoints, policies=None, **kwargs):
    """Return an entry host before endpoints of one data centre, by their names."""
    platform = MemoryPlatform()
    catalogue = small_catalogue()
    catalogue["policies"] |= policies or {}
    specs = [(Kind.ENTRY, name, spec) for name, spec in catalogue.items()]
    for number, (name, endpoint) in enumerate(endpoints.items()):
        spec = {
            "address": f"http://127.0.0.1:{1000 + number}",
            "dataCentre": "mbeya",
            "serves": list(endpoint.serves),
            "state": endpoint.state,
        }
        specs.append((Kind.ENDPOINT, name, spec))
    stored = [await platform.create(StoredObject(*spec)) for spec in specs]
    configuration = Configuration(CLOCK)
    configuration.merge_objects(stored, [])
    router = Router(
        data_centre="mbeya",
        clock=CLOCK,
        configuration=configuration,
        engines=_ScriptedEngines(endpoints),
        claims=Claims(platform, CLOCK, "mbeya-1-1"),
        biller=Biller(platform, CLOCK, "mbeya-1", 1),
        answers=Answers(1 << 26),
        session_keys=SessionKeys(),
        admission=Admission(500, CLOCK),
        answer_retention_s=60.0,
        host_name="mbeya-1",
        **kwargs,
    )
    return VirtualEntry(router, endpoints)
