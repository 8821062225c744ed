"""A stand-in of a model engine that can fail on command."""

import asyncio
from dataclasses import dataclass, field
from typing import Any

import msgspec
from aiohttp import web

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
    silent_after : int or None
        Send nothing more after this many tokens of a stream.
    truncate_after : int or None
        Close a stream after this many tokens.
    garbage : bool
        Send bytes that are no events.
    """

    refuse: bool = False
    crash_on: str = ""
    silent_after: int | None = None
    truncate_after: int | None = None
    garbage: bool = False


@dataclass(slots=True)
class Generation:
    """One attempt as the engine holds it, so that its stream can be resumed."""

    version: str
    tokens: list[str]
    prompt_tokens: int
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
    """

    name: str
    versions: frozenset[str]
    tokens: int = 12
    token_s: float = 0.01
    faults: EngineFaults = field(default_factory=EngineFaults)
    ran: list[str] = field(default_factory=list)
    generations: dict[str, Generation] = field(default_factory=dict)
    transports: set[asyncio.Transport] = field(default_factory=set)

    def app(self) -> web.Application:
        """Return the application that serves the engine."""
        app = web.Application(client_max_size=1 << 24)
        app.router.add_post("/v1/chat/completions", self._chat)
        app.router.add_post("/v1/completions", self._complete)
        app.router.add_get("/v1/streams/{attempt_id}", self._resume)
        app.router.add_delete("/v1/streams/{attempt_id}", self._cancel)
        return app

    async def _chat(self, request: web.Request) -> web.StreamResponse:
        return await self._run(request, "chat.completion")

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        return await self._run(request, "text_completion")

    async def _run(self, request: web.Request, kind: str) -> web.StreamResponse:
        body = msgspec.json.decode(await request.read())
        if self.faults.refuse or body["model"] not in self.versions:
            return web.json_response({"error": {"message": "full"}}, status=503)
        attempt_id = request.headers.get("X-Request-Id", "")
        self.ran.append(attempt_id)
        prompt = str(body.get("messages") or body.get("prompt"))
        if self.faults.crash_on and self.faults.crash_on in prompt:
            self.crash(request)
        bound = body.get("max_tokens") or body.get("max_completion_tokens")
        count = min(self.tokens, bound) if bound else self.tokens
        tokens = [f"word{number} " for number in range(count)]
        generation = Generation(body["model"], tokens, max(1, len(prompt) // 4))
        self.generations[attempt_id] = generation
        if not body.get("stream"):
            await asyncio.sleep(self.token_s * count)
            return web.json_response(self._whole(attempt_id, generation, kind))
        return await self._stream(request, attempt_id, generation, kind, 0)

    def crash(self, request: web.Request) -> None:
        """Close the connection of a request without an answer."""
        if request.transport is not None:
            request.transport.abort()
        raise ConnectionResetError("crashed on command")

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        attempt_id = request.match_info["attempt_id"]
        generation = self.generations.get(attempt_id)
        if generation is None:
            return web.json_response({"error": {"message": "unknown"}}, status=404)
        start = int(request.query.get("from_event", "0"))
        kind = "chat.completion"
        return await self._stream(request, attempt_id, generation, kind, start)

    async def _cancel(self, request: web.Request) -> web.Response:
        generation = self.generations.get(request.match_info["attempt_id"])
        if generation is not None:
            generation.cancelled = True
        return web.json_response({})

    async def _stream(
        self,
        request: web.Request,
        attempt_id: str,
        generation: Generation,
        kind: str,
        start: int,
    ) -> web.StreamResponse:
        resp = web.StreamResponse()
        resp.content_type = "text/event-stream"
        await resp.prepare(request)
        for number in range(start, len(generation.tokens)):
            if generation.cancelled:
                return resp
            await asyncio.sleep(self.token_s)
            if self.faults.garbage:
                await resp.write(b"\xff\xfe not an event \n\n")
            if number == self.faults.silent_after:
                await asyncio.sleep(3600)
            if number == self.faults.truncate_after:
                self.crash(request)
            event = self._event(attempt_id, generation, kind, number)
            await resp.write(b"data: " + msgspec.json.encode(event) + b"\n\n")
        last = {
            "id": attempt_id,
            "object": f"{kind}.chunk",
            "created": 0,
            "model": generation.version,
            "choices": [],
            "usage": self._usage(generation),
        }
        await resp.write(b"data: " + msgspec.json.encode(last) + b"\n\n")
        await resp.write(b"data: [DONE]\n\n")
        return resp

    def _event(
        self, attempt_id: str, generation: Generation, kind: str, number: int
    ) -> dict[str, Any]:
        token = generation.tokens[number]
        last = number == len(generation.tokens) - 1
        choice: dict[str, Any] = {"index": 0, "finish_reason": "stop" if last else None}
        if kind == "chat.completion":
            choice["delta"] = {"role": "assistant", "content": token}
        else:
            choice["text"] = token
        return {
            "id": attempt_id,
            "object": f"{kind}.chunk" if kind == "chat.completion" else kind,
            "created": 0,
            "model": generation.version,
            "choices": [choice],
        }

    def _whole(
        self, attempt_id: str, generation: Generation, kind: str
    ) -> dict[str, Any]:
        text = "".join(generation.tokens)
        choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
        if kind == "chat.completion":
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return {
            "id": attempt_id,
            "object": kind,
            "created": 0,
            "model": generation.version,
            "choices": [choice],
            "usage": self._usage(generation),
        }

    @staticmethod
    def _usage(generation: Generation) -> dict[str, int]:
        completion = len(generation.tokens)
        return {
            "prompt_tokens": generation.prompt_tokens,
            "completion_tokens": completion,
            "total_tokens": generation.prompt_tokens + completion,
        }
