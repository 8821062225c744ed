"""A stand-in of the platform's store: objects, revisions, watches, history."""

import asyncio
import contextlib
import copy
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from review.common.messages import read_body, read_head, write_message

__all__ = ["HEARTBEAT_S", "LAPSE_S", "Store"]

HEARTBEAT_S = 1.2
LAPSE_S = 3 * HEARTBEAT_S  # of silence, after which an entry of `servers` is removed

PATH = "/-/objects/"
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone"}


class Store:
    """Keeps objects by kind and name, and a history of their changes.

    Attributes
    ----------
    address : str
        IP:PORT.
    revision : int
        Increases with each change.
    era : int
        Number of times that it came back from a copy, sent with each answer.
    away : bool
        Whether it closes each connection without an answer.
    """

    def __init__(self) -> None:
        self.address = ""
        self.revision = 100
        self.era = 1
        self.away = False
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._oldest = 100
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._beats: dict[str, float] = {}  # last write of each entry of `servers`
        self._lapses: asyncio.Task | None = None

    async def start(self) -> None:
        """Listen on a free loopback port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        self._lapses = asyncio.create_task(self._remove_silent())

    async def _remove_silent(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now = asyncio.get_running_loop().time()
            for name in list(self._objects.get("servers", {})):
                if not self.away and now - self._beats.get(name, now) > LAPSE_S:
                    self.remove("servers", name)

    def beat(self, name: str, spec: dict[str, Any]) -> None:
        """Write an entry of `servers`; it changes if more than its `seqNo` does."""
        self._beats[name] = asyncio.get_running_loop().time()
        known = self.get("servers", name)
        if known and known["spec"] | {"seqNo": 0} == spec | {"seqNo": 0}:
            known["spec"] = spec
        else:
            self.put("servers", name, spec)

    def get(self, kind: str, name: str) -> dict[str, Any] | None:
        """Return an object, or None."""
        return self._objects.get(kind, {}).get(name)

    def put(self, kind: str, name: str, spec: Any, status: Any = None) -> int:
        """Write an object, and return the revision of the change."""
        known = self.get(kind, name)
        if known and (known["spec"], known["status"]) == (spec, status):
            return self.revision
        self.revision += 1
        created = known["metadata"]["created"] if known else self.revision
        metadata = {
            "name": name,
            "revision": self.revision,
            "created": created,
            "finalizers": [],
            "deleting": False,
        }
        entry = {"metadata": metadata, "spec": spec, "status": status}
        self._objects.setdefault(kind, {})[name] = entry
        self._publish(kind, entry, False)
        return self.revision

    def remove(self, kind: str, name: str) -> int:
        """Remove an object, and return the revision of the removal."""
        self.revision += 1
        entry = copy.deepcopy(self._objects[kind].pop(name))
        entry["metadata"]["revision"] = self.revision
        self._publish(kind, entry, True)
        return self.revision

    def copy(self) -> tuple[int, dict]:
        """Return a copy of what is stored."""
        return self.revision, copy.deepcopy(self._objects)

    def come_back_from(self, saved: tuple[int, dict]) -> None:
        """Serve again from a copy; the revisions since are given out again."""
        self.revision, self._objects = saved[0], copy.deepcopy(saved[1])
        self._events = [event for event in self._events if event[0] <= saved[0]]
        self.era += 1
        self.away = False
        now = asyncio.get_running_loop().time()
        self._beats = dict.fromkeys(self._objects.get("servers", {}), now)

    def go_away(self) -> None:
        """Close all connections, and answer none until it comes back."""
        self.away = True
        for writer in tuple(self._writers):
            writer.transport.abort()

    def _publish(self, kind: str, entry: dict[str, Any], removed: bool) -> None:
        self._events.append((self.revision, kind, copy.deepcopy(entry), removed))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.away:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            while head := await read_head(reader):
                body = await read_body(reader, head)
                status, reply = await self._answer(head.words, body)
                if self.away:
                    break
                start = f"HTTP/1.1 {status} {REASONS[status]}"
                headers = {
                    "Content-Type": "application/json",
                    "Store-Era": str(self.era),
                }
                await write_message(writer, start, headers, json.dumps(reply).encode())
        except (ConnectionError, EOFError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, words: list[str], body: bytes) -> tuple[int, Any]:
        url = urlsplit(words[1])
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        kind, *rest = url.path.removeprefix(PATH).split("/")
        if words[0] == "GET" and not rest:
            if "watch" in query:
                return await self._watch(kind, query)
            return 200, self._list(kind, query.get("after", ""))
        if words[0] == "GET":
            entry = self.get(kind, rest[0])
            return (200, entry) if entry else (404, {})
        values = json.loads(body) if body else {}
        name = rest[0] if rest else values["metadata"]["name"]
        known = self.get(kind, name)
        if words[0] == "POST":
            if known:
                return 409, known
            self.put(kind, name, values.get("spec"))
            return 200, self.get(kind, name)
        if not known:
            return 404, {}
        revision = query.get("revision", values.get("metadata", {}).get("revision"))
        if revision is not None and int(revision) != known["metadata"]["revision"]:
            return 409, known
        if words[0] == "DELETE":
            self.remove(kind, name)
            return 200, {}
        if rest[1:] == ["status"]:
            self.put(kind, name, known["spec"], values.get("status"))
        else:
            self.put(kind, name, values.get("spec"), known["status"])
        return 200, self.get(kind, name)

    def _list(self, kind: str, after: str) -> dict[str, Any]:
        entries = sorted(self._objects.get(kind, {}).items())
        return {
            "entries": [entry for name, entry in entries if name > after],
            "more": False,
            "asOf": self.revision,
        }

    async def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        since = int(query["watch"])
        if since < self._oldest or since > self.revision:
            return 410, {}
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + int(query.get("waitMs", "0")) / 1000
        while not (events := self._since(kind, since)) and loop.time() < ends_at:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(ends_at):
                    await self._changed.wait()
        return 200, {"events": events, "asOf": self.revision}

    def _since(self, kind: str, since: int) -> list[dict[str, Any]]:
        return [
            {"object": entry, "removed": removed}
            for revision, event_kind, entry, removed in self._events
            if revision > since and event_kind == kind
        ]
