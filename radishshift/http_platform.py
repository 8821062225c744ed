"""HTTP client for the platform's object API, which follows Kubernetes conventions."""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager
from typing import Any

import aiohttp
import msgspec

from radishshift.errors import (
    AlreadyExistsError,
    ConflictError,
    GoneError,
    NotFoundError,
    PlatformUnavailableError,
    RadishshiftError,
)
from radishshift.objects import ChangeType, Kind, Listing, ObjectChange, StoredObject
from radishshift.platform import Platform
from radishshift.verdicts import Verdict

__all__ = ["BASE_PATH", "HttpPlatform", "object_from_json", "object_to_json"]

API_VERSION = "radishshift.dev/v1"
BASE_PATH = f"/apis/{API_VERSION}"
WATCH_READ_TIMEOUT_S = 15.0
WRITER_ANNOTATION = "radishshift.dev/writer"


class _MetadataModel(msgspec.Struct, rename="camel"):
    name: str = ""
    resource_version: str = "0"
    annotations: dict[str, str] = {}


class _ObjectModel(msgspec.Struct, rename="camel"):
    metadata: _MetadataModel
    spec: dict[str, Any] = {}
    status: dict[str, Any] = {}


class _ListModel(msgspec.Struct, rename="camel"):
    metadata: _MetadataModel
    items: list[_ObjectModel]


class _EventModel(msgspec.Struct):
    type: str
    object: _ObjectModel


class _StatusModel(msgspec.Struct):
    reason: str = ""
    message: str = ""


def object_to_json(item: StoredObject) -> dict[str, Any]:
    """Return an object in its JSON form."""
    return {
        "apiVersion": API_VERSION,
        "kind": item.kind.value,
        "metadata": {
            "name": item.name,
            "resourceVersion": str(item.revision),
            "annotations": {WRITER_ANNOTATION: item.writer},
        },
        "spec": item.spec,
        "status": item.status,
    }


def _object_from_model(kind: Kind, model: _ObjectModel) -> StoredObject:
    metadata = model.metadata
    return StoredObject(
        kind=kind,
        name=metadata.name,
        spec=model.spec,
        status=model.status,
        revision=int(metadata.resource_version),
        writer=metadata.annotations.get(WRITER_ANNOTATION, ""),
    )


def object_from_json(kind: Kind, data: bytes) -> StoredObject:
    """Decode an object from a JSON body.

    Raises
    ------
    msgspec.DecodeError, ValueError
    """
    return _object_from_model(kind, msgspec.json.decode(data, type=_ObjectModel))


def _error_from_response(status: int, data: bytes) -> RadishshiftError:
    try:
        reply = msgspec.json.decode(data, type=_StatusModel)
    except msgspec.DecodeError:
        reply = _StatusModel()
    if status == 404:
        return NotFoundError(reply.message)
    if status == 410:
        return GoneError(reply.message)
    if status == 409 and reply.reason == "AlreadyExists":
        return AlreadyExistsError(reply.message)
    if status == 409:
        return ConflictError(reply.message)
    return PlatformUnavailableError(
        f"platform returned HTTP status {status}", verdict=Verdict.MAY_HAVE_RUN
    )


def _change_from_line(kind: Kind, line: bytes) -> ObjectChange:
    """Decode an event of a watch.

    Raises
    ------
    GoneError, PlatformUnavailableError
    """
    with _decoding(Verdict.NOT_RUN):
        event = msgspec.json.decode(line, type=_EventModel)
        if event.type != "ERROR":
            item = _object_from_model(kind, event.object)
            return ObjectChange(ChangeType(event.type), item)
    raise GoneError("platform ended the watch with an error event")


@contextmanager
def _decoding(verdict: Verdict) -> Iterator[None]:
    """Turn an error of decoding a reply into one of the platform.

    Parameters
    ----------
    verdict : Verdict
        Whether the call may have taken effect.
    """
    try:
        yield
    except (msgspec.DecodeError, ValueError) as exc:
        raise PlatformUnavailableError(
            f"the platform's reply is malformed: {exc}", verdict=verdict
        ) from exc


class HttpPlatform(Platform):
    """Client of a platform reached over HTTP.

    Parameters
    ----------
    session : aiohttp.ClientSession
    address : str
        Base URL.
    writer : str
        Name recorded as the writer of each object.
    call_timeout_s : float
        Timeout of a call, and of connecting a watch.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        writer: str,
        call_timeout_s: float,
    ) -> None:
        self._session = session
        self._base_url = address + BASE_PATH
        self._writer = writer
        self._call_timeout_s = call_timeout_s

    async def get(self, kind: Kind, name: str) -> StoredObject:
        """Return one object."""
        data = await self._call("GET", f"/{kind.value}/{name}")
        with _decoding(Verdict.NOT_RUN):
            return object_from_json(kind, data)

    async def list_all(self, kind: Kind, allow_stale: bool = False) -> Listing:
        """Return all objects of a kind, always the latest."""
        data = await self._call("GET", f"/{kind.value}")
        with _decoding(Verdict.NOT_RUN):
            model = msgspec.json.decode(data, type=_ListModel)
            items = tuple(_object_from_model(kind, item) for item in model.items)
            return Listing(items, int(model.metadata.resource_version))

    async def create(self, item: StoredObject) -> StoredObject:
        """Create an object."""
        data = await self._call("POST", f"/{item.kind.value}", item)
        with _decoding(Verdict.MAY_HAVE_RUN):
            return object_from_json(item.kind, data)

    async def update(self, item: StoredObject) -> StoredObject:
        """Replace an object if it is still at the revision of `item`."""
        data = await self._call("PUT", f"/{item.kind.value}/{item.name}", item)
        with _decoding(Verdict.MAY_HAVE_RUN):
            return object_from_json(item.kind, data)

    async def delete(self, kind: Kind, name: str, revision: int) -> None:
        """Delete an object if it is still at `revision`."""
        path = f"/{kind.value}/{name}?resourceVersion={revision}"
        await self._call("DELETE", path)

    async def watch(self, kind: Kind, since: int) -> AsyncIterator[ObjectChange]:
        """Yield the changes of a kind after revision `since`."""
        query = f"watch=1&allowWatchBookmarks=true&resourceVersion={since}"
        url = f"{self._base_url}/{kind.value}?{query}"
        # A live watch receives bookmarks, so the read timeout detects a connection that
        # died silently.
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=self._call_timeout_s,
            sock_read=WATCH_READ_TIMEOUT_S,
        )
        try:
            async with self._session.get(url, timeout=timeout) as resp:
                if resp.status != 200:
                    raise _error_from_response(resp.status, await resp.read())
                async for line in resp.content:
                    yield _change_from_line(kind, line)
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            raise PlatformUnavailableError(f"platform watch failed: {exc}") from exc

    async def _call(
        self, method: str, path: str, item: StoredObject | None = None
    ) -> bytes:
        data = None
        if item is not None:
            body = object_to_json(item)
            body["metadata"]["annotations"][WRITER_ANNOTATION] = self._writer
            data = msgspec.json.encode(body)
        try:
            async with (
                asyncio.timeout(self._call_timeout_s),
                self._session.request(method, self._base_url + path, data=data) as resp,
            ):
                reply = await resp.read()
                if not 200 <= resp.status < 300:
                    raise _error_from_response(resp.status, reply)
                return reply
        except aiohttp.ClientConnectorError as exc:
            raise PlatformUnavailableError(str(exc)) from exc
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            verdict = Verdict.NOT_RUN if method == "GET" else Verdict.MAY_HAVE_RUN
            raise PlatformUnavailableError(
                f"no response from the platform: {exc!r}", verdict=verdict
            ) from exc
