"""A stand-in of a model engine that can fail on command."""

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
    """What an engine is to do wrong.

    Attributes
    ----------
    refuse : bool
        Answer 503 before any work.
    crash_on : str
        Close every connection when a prompt holds this text; empty for none.
    stall_after : int or None
        Send nothing more after this many tokens of a stream.
    truncate_after : int or None
        Close a stream after this many tokens.
    crash_after : int or None
        Close every connection and forget every stream after this many tokens.
    garbage : bool
        Send bytes that are no events.
    duplicate : bool
        Send each event twice.
    foreign_event_after : int or None
        Send an event of another stream after this many tokens.
    skip_after : int or None
        Leave out one event after this many tokens.
    header_delay_s : float
        Wait before the headers, in seconds.
    refuse_resume : bool
        Know nothing of a stream that is to be resumed.
    fail_resumed_streams : bool
        Do the same wrong on resumed streams.
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
    """One attempt as the engine holds it, so that its stream can be resumed."""

    version: str
    kind: str
    tokens: list[str]
    prompt_tokens: int
    began: float
    cancelled: bool = False


@dataclass(slots=True)
class StandinEngine:
    """An engine that answers with a fixed number of words.

    Parameters
    ----------
    name : str
    versions : frozenset of str
    tokens : int
        Length of each answer.
    token_s : float
        Time between tokens, in seconds.

    Attributes
    ----------
    faults : EngineFaults
    ran, cancelled : list of str
        Ids of the attempts that began, and of those that were cancelled.
    resumed : list of (str, int)
        Ids and offsets of resumed streams.
    generations : dict of str to Generation
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
        """Return the application that serves the engine."""
        app = web.Application(client_max_size=1 << 24, middlewares=[self._tracked])
        app.router.add_post("/v1/chat/completions", self._chat)
        app.router.add_post("/v1/completions", self._complete)
        app.router.add_get("/v1/load", self._load)
        self.kv_cache.add_routes(app)
        app.router.add_get("/v1/streams/{attempt_id}", self._resume)
        app.router.add_delete("/v1/streams/{attempt_id}", self._cancel)
        return app

    @web.middleware
    async def _tracked(self, request: web.Request, handler) -> web.StreamResponse:
        self.transports.add(request.transport)
        try:
            return await handler(request)
        finally:
            self.transports.discard(request.transport)

    async def _load(self, request: web.Request) -> web.Response:
        since = int(request.query.get("cache_since", "0"))
        return web.json_response(self.prefix_cache.report(self.in_flight, since))

    async def _chat(self, request: web.Request) -> web.StreamResponse:
        return await self._run(request, "chat.completion")

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        return await self._run(request, "text_completion")

    async def _run(self, request: web.Request, kind: str) -> web.StreamResponse:
        self.prefix_cache.use(request.headers.get("X-Prefix-Digest", ""))
        self.in_flight += 1
        try:
            return await self._answer(request, kind)
        finally:
            self.in_flight -= 1

    async def _answer(self, request: web.Request, kind: str) -> web.StreamResponse:
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
        generation.began = asyncio.get_running_loop().time()
        await asyncio.sleep(self.faults.header_delay_s)
        if not body.get("stream"):
            await asyncio.sleep(self.token_s * len(generation.tokens))
            return web.json_response(self._whole(attempt_id, generation))
        return await self._stream(request, attempt_id, 0, self.faults)

    def _generate(self, body: dict[str, Any], prompt: str, kind: str) -> Generation:
        bound = body.get("max_tokens") or body.get("max_completion_tokens")
        count = min(self.tokens, bound) if bound else self.tokens
        tokens = [f"word{number} " for number in range(count)]
        began = asyncio.get_running_loop().time()
        length = max(1, len(prompt) // 4)
        return Generation(body["model"], kind, tokens, length, began)

    def crash(self) -> None:
        """Close every connection without an answer and forget every stream."""
        self.generations.clear()
        for transport in list(self.transports):
            if transport is not None:
                transport.abort()
        raise ConnectionResetError("crashed on command")

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
            due = generation.began + self.token_s * (number + 1)
            await asyncio.sleep(max(0.0, due - loop.time()))
            if generation.cancelled:
                return resp
            await self._do_wrong(request, resp, generation, number, faults)
            event = _event(attempt_id, generation, number)
            if number != faults.skip_after:
                await resp.write(event)
            if faults.duplicate:
                await resp.write(event)
        await resp.write(_last_event(attempt_id, generation))
        await resp.write(b"data: [DONE]\n\n")
        return resp

    async def _do_wrong(
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
            raise ConnectionResetError("cut on command")
        if number == faults.crash_after:
            self.crash()

    def _whole(self, attempt_id: str, generation: Generation) -> dict[str, Any]:
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


def _last_event(attempt_id: str, generation: Generation) -> bytes:
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
