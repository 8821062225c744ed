"""A stand-in for the platform's object API over HTTP."""

import msgspec
from aiohttp import web

from radishshift.errors import ConflictError, NotFoundError, RadishshiftError
from radishshift.http_platform import (
    BASE_PATH,
    object_from_json,
    object_to_json,
)
from radishshift.objects import Kind
from radishshift.platform import MemoryPlatform

__all__ = ["make_platform_app"]

PLATFORM = web.AppKey("platform", MemoryPlatform)
REASON_BY_ERROR_CODE = {"already-exists": "AlreadyExists", "conflict": "Conflict"}


def _json(value: object, status: int = 200) -> web.Response:
    body = msgspec.json.encode(value)
    return web.Response(status=status, body=body, content_type="application/json")


@web.middleware
async def _errors_to_responses(request: web.Request, handler) -> web.StreamResponse:
    try:
        return await handler(request)
    except RadishshiftError as exc:
        reason = REASON_BY_ERROR_CODE.get(exc.code, exc.code)
        return _json({"reason": reason, "message": exc.message}, exc.status)
    except ValueError as exc:
        return _json({"reason": "Invalid", "message": str(exc)}, 422)


def _kind(request: web.Request) -> Kind:
    try:
        return Kind(request.match_info["kind"])
    except ValueError as exc:
        raise NotFoundError("the platform has no such kind of object") from exc


async def _list_or_watch(request: web.Request) -> web.StreamResponse:
    platform = request.app[PLATFORM]
    kind = _kind(request)
    if "watch" in request.query:
        return await _watch(request, kind)
    listing = await platform.list_all(kind)
    return _json(
        {
            "metadata": {"resourceVersion": str(listing.revision)},
            "items": [object_to_json(item) for item in listing.items],
        }
    )


async def _watch(request: web.Request, kind: Kind) -> web.StreamResponse:
    resp = web.StreamResponse()
    resp.content_type = "application/json"
    await resp.prepare(request)
    since = int(request.query.get("resourceVersion", "0"))
    try:
        async for change in request.app[PLATFORM].watch(kind, since):
            event = {"type": change.type.value, "object": object_to_json(change.item)}
            await resp.write(msgspec.json.encode(event) + b"\n")
    except RadishshiftError:
        event = {"type": "ERROR", "object": {"metadata": {}}}
        await resp.write(msgspec.json.encode(event) + b"\n")
    except ConnectionError:
        pass
    return resp


async def _create(request: web.Request) -> web.Response:
    item = object_from_json(_kind(request), await request.read())
    return _json(object_to_json(await request.app[PLATFORM].create(item)), 201)


async def _get(request: web.Request) -> web.Response:
    name = request.match_info["name"]
    item = await request.app[PLATFORM].get(_kind(request), name)
    return _json(object_to_json(item))


async def _update(request: web.Request) -> web.Response:
    item = object_from_json(_kind(request), await request.read())
    if item.name != request.match_info["name"]:
        raise ConflictError("the names in the path and the object differ")
    return _json(object_to_json(await request.app[PLATFORM].update(item)))


async def _delete(request: web.Request) -> web.Response:
    revision = int(request.query["resourceVersion"])
    name = request.match_info["name"]
    await request.app[PLATFORM].delete(_kind(request), name, revision)
    return _json({})


def make_platform_app(platform: MemoryPlatform) -> web.Application:
    """Return a web application that serves an in-memory platform.

    It has the HTTP API of the platform; status updates are not served.
    """
    app = web.Application(middlewares=[_errors_to_responses], client_max_size=1 << 20)
    app[PLATFORM] = platform
    app.router.add_get(BASE_PATH + "/{kind}", _list_or_watch)
    app.router.add_post(BASE_PATH + "/{kind}", _create)
    app.router.add_get(BASE_PATH + "/{kind}/{name}", _get)
    app.router.add_put(BASE_PATH + "/{kind}/{name}", _update)
    app.router.add_delete(BASE_PATH + "/{kind}/{name}", _delete)
    return app
