"""A stand-in for a model engine, with fault injection."""

import asyncio
from dataclasses import dataclass, field
from typing import Any

import msgspec
from aiohttp import web

from radishshift.standins.kv_cache import StandinKvCache
from radishshift.standins.prefix_cache import StandinPrefixCache

__all__ = ["EngineFaults", "StandinEngine"]


@dataclass(slots=True)
class EngineFaults:
    """Faults to inject into an engine's answers.

    Attributes
    ----------
    refuse : bool
        Answer 503 without starting the attempt.
    crash_on : str
        Crash when a prompt contains this text; empty for never.
    stall_after : int or None
        Stall a stream after this many tokens, leaving its connection open.
    truncate_after : int or None
        Abort the connection of a stream after this many tokens.
    crash_after : int or None
        Crash after this many tokens: abort every connection and drop every stream.
    garbage : bool
        Send bytes that are not valid events.
    duplicate : bool
        Send each event twice.
    foreign_event_after : int or None
        Send an event with the id of another attempt after this many tokens.
    skip_after : int or None
        Omit one event after this many tokens.
    header_delay_s : float
        Delay before the response headers, in seconds.
    refuse_resume : bool
        Answer 404 to requests to resume a stream.
    fail_resumed_streams : bool
        Inject the same faults into resumed streams.
    """

    refuse: bool = False
    crash_on: str = ""
    stall_after: int | None = None
    truncate_after: int | None = None
    crash_after: int | None = None
    garbage: bool = False
    duplicate: bool = False
    foreign_event_after: int | None = None
    skip_after: int | None = None
    header_delay_s: float = 0.0
    refuse_resume: bool = False
    fail_resumed_streams: bool = False


NO_FAULTS = EngineFaults()


@dataclass(slots=True)
class Generation:
    """State of one attempt, kept so that its stream can be resumed."""

    version: str
    kind: str
    tokens: list[str]
    prompt_tokens: int
    started_at: float
    cancelled: bool = False


@dataclass(slots=True)
class StandinEngine:
    """An engine whose answers have a fixed number of tokens.

    Parameters
    ----------
    name : str
    versions : frozenset of str
    tokens : int
        Length of each answer.
    token_s : float
        Interval between tokens, in seconds.

    Attributes
    ----------
    faults : EngineFaults
    ran, cancelled : list of str
        Ids of the attempts that were started, and of those that were cancelled.
    resumed : list of (str, int)
        Attempt id and first event of each resumed stream.
    generations : dict of str to Generation
        By attempt id.
    transports : set of asyncio.Transport
        Transports of the requests in flight.
    in_flight : int
        Completion requests in flight.
    """

    name: str
    versions: frozenset[str]
    tokens: int = 12
    token_s: float = 0.01
    faults: EngineFaults = field(default_factory=EngineFaults)
    ran: list[str] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    resumed: list[tuple[str, int]] = field(default_factory=list)
    generations: dict[str, Generation] = field(default_factory=dict)
    transports: set[asyncio.Transport] = field(default_factory=set)
    prefix_cache: StandinPrefixCache = field(default_factory=StandinPrefixCache)
    kv_cache: StandinKvCache = field(default_factory=StandinKvCache)
    in_flight: int = 0

    def app(self) -> web.Application:
        """Return the web application of the engine."""
        app = web.Application(
            client_max_size=1 << 24, middlewares=[self._track_transport]
        )
        app.router.add_post("/v1/chat/completions", self._chat_completion)
        app.router.add_post("/v1/completions", self._text_completion)
        app.router.add_get("/v1/load", self._load)
        self.kv_cache.add_routes(app)
        app.router.add_get("/v1/streams/{attempt_id}", self._resume)
        app.router.add_delete("/v1/streams/{attempt_id}", self._cancel)
        return app

    @web.middleware
    async def _track_transport(
        self, request: web.Request, handler
    ) -> web.StreamResponse:
        self.transports.add(request.transport)
        try:
            return await handler(request)
        finally:
            self.transports.discard(request.transport)

    async def _load(self, request: web.Request) -> web.Response:
        since = int(request.query.get("cache_since", "0"))
        return web.json_response(self.prefix_cache.report(self.in_flight, since))

    async def _chat_completion(self, request: web.Request) -> web.StreamResponse:
        return await self._run(request, "chat.completion")

    async def _text_completion(self, request: web.Request) -> web.StreamResponse:
        return await self._run(request, "text_completion")

    async def _run(self, request: web.Request, kind: str) -> web.StreamResponse:
        self.prefix_cache.use(request.headers.get("X-Prefix-Digest", ""))
        self.in_flight += 1
        try:
            return await self._run_attempt(request, kind)
        finally:
            self.in_flight -= 1

    async def _run_attempt(self, request: web.Request, kind: str) -> web.StreamResponse:
        body = msgspec.json.decode(await request.read())
        if self.faults.refuse or body["model"] not in self.versions:
            return web.json_response({"error": {"message": "full"}}, status=503)
        attempt_id = request.headers.get("X-Request-Id", "")
        self.ran.append(attempt_id)
        prompt = str(body.get("messages") or body.get("prompt"))
        if self.faults.crash_on and self.faults.crash_on in prompt:
            self.crash()
        generation = self._generate(body, prompt, kind)
        self.generations[attempt_id] = generation
        prefix = request.headers.get("X-Prefix-Digest", "")
        await self.kv_cache.prefill(prefix, generation.prompt_tokens)
        generation.started_at = asyncio.get_running_loop().time()
        await asyncio.sleep(self.faults.header_delay_s)
        if not body.get("stream"):
            await asyncio.sleep(self.token_s * len(generation.tokens))
            return web.json_response(self._complete_answer(attempt_id, generation))
        return await self._stream(request, attempt_id, 0, self.faults)

    def _generate(self, body: dict[str, Any], prompt: str, kind: str) -> Generation:
        max_tokens = body.get("max_tokens") or body.get("max_completion_tokens")
        count = min(self.tokens, max_tokens) if max_tokens else self.tokens
        tokens = [f"word{number} " for number in range(count)]
        started_at = asyncio.get_running_loop().time()
        length = max(1, len(prompt) // 4)
        return Generation(body["model"], kind, tokens, length, started_at)

    def crash(self) -> None:
        """Abort every connection and drop the state of every stream."""
        self.generations.clear()
        for transport in list(self.transports):
            if transport is not None:
                transport.abort()
        raise ConnectionResetError("injected fault: engine crashed")

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        attempt_id = request.match_info["attempt_id"]
        if attempt_id not in self.generations or self.faults.refuse_resume:
            return web.json_response({"error": {"message": "unknown"}}, status=404)
        start = int(request.query.get("from_event", "0"))
        self.resumed.append((attempt_id, start))
        faults = self.faults if self.faults.fail_resumed_streams else NO_FAULTS
        return await self._stream(request, attempt_id, start, faults)

    async def _cancel(self, request: web.Request) -> web.Response:
        attempt_id = request.match_info["attempt_id"]
        self.cancelled.append(attempt_id)
        generation = self.generations.get(attempt_id)
        if generation is not None:
            generation.cancelled = True
        return web.json_response({})

    async def _stream(
        self, request: web.Request, attempt_id: str, start: int, faults: EngineFaults
    ) -> web.StreamResponse:
        generation = self.generations[attempt_id]
        loop = asyncio.get_running_loop()
        resp = web.StreamResponse()
        resp.content_type = "text/event-stream"
        await resp.prepare(request)
        for number in range(start, len(generation.tokens)):
            due = generation.started_at + self.token_s * (number + 1)
            await asyncio.sleep(max(0.0, due - loop.time()))
            if generation.cancelled:
                return resp
            await self._inject_faults(request, resp, generation, number, faults)
            event = _event(attempt_id, generation, number)
            if number != faults.skip_after:
                await resp.write(event)
            if faults.duplicate:
                await resp.write(event)
        await resp.write(_usage_event(attempt_id, generation))
        await resp.write(b"data: [DONE]\n\n")
        return resp

    async def _inject_faults(
        self,
        request: web.Request,
        resp: web.StreamResponse,
        generation: Generation,
        number: int,
        faults: EngineFaults,
    ) -> None:
        if faults.garbage:
            await resp.write(b"\xff\xfe not an event \n\n")
        if number == faults.foreign_event_after:
            await resp.write(_event("another-stream", generation, number))
        if number == faults.stall_after:
            await asyncio.sleep(3600)
        if number == faults.truncate_after:
            request.transport.abort()
            raise ConnectionResetError("injected fault: stream truncated")
        if number == faults.crash_after:
            self.crash()

    def _complete_answer(
        self, attempt_id: str, generation: Generation
    ) -> dict[str, Any]:
        text = "".join(generation.tokens)
        choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
        if generation.kind == "chat.completion":
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return {
            "id": attempt_id,
            "object": generation.kind,
            "created": 0,
            "model": generation.version,
            "choices": [choice],
            "usage": _usage(generation),
        }


def _encode(number: int, event: dict[str, Any]) -> bytes:
    return b"id: %d\ndata: %b\n\n" % (number, msgspec.json.encode(event))


def _event(attempt_id: str, generation: Generation, number: int) -> bytes:
    token = generation.tokens[number]
    last = number == len(generation.tokens) - 1
    choice: dict[str, Any] = {"index": 0, "finish_reason": "stop" if last else None}
    kind = generation.kind
    if kind == "chat.completion":
        choice["delta"] = {"role": "assistant", "content": token}
        kind = f"{kind}.chunk"
    else:
        choice["text"] = token
    event = {
        "id": attempt_id,
        "object": kind,
        "created": 0,
        "model": generation.version,
        "choices": [choice],
    }
    return _encode(number, event)


def _usage_event(attempt_id: str, generation: Generation) -> bytes:
    event = {
        "id": attempt_id,
        "object": f"{generation.kind}.chunk",
        "created": 0,
        "model": generation.version,
        "choices": [],
        "usage": _usage(generation),
    }
    return _encode(len(generation.tokens), event)


def _usage(generation: Generation) -> dict[str, int]:
    completion = len(generation.tokens)
    return {
        "prompt_tokens": generation.prompt_tokens,
        "completion_tokens": completion,
        "total_tokens": generation.prompt_tokens + completion,
    }
