"""The users' platform on loopback, for tests of the adapter."""

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field

import aiohttp
from aiohttp import web
from users_platform.standins import StandinEndpoint, StandinStore

__all__ = ["CONFIG", "KEY", "Platform", "platform_up", "server_spec"]

KEY = "key-of-ring"
HOST = "ring.example"


def _route(name, kind, service, **changes):
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "type": kind,
        "timeoutMs": 5000,
        "sloMs": 1000,
        "service": service,
        "maxAttempts": 2,
        "priority": 1,
        "public": False,
        **changes,
    }


CONFIG = {
    "version": 7,
    "routes": [
        _route("look", "safe", "desk"),
        _route("book", "unsafe", "desk", maxAttempts=1),
        _route(
            "plan",
            "streaming",
            "advice",
            sizes=["small", "large"],
            resumable=True,
            sticky=True,
        ),
    ],
    "services": [
        {"name": "desk", "healthPath": "/healthz", "maxConns": 96},
        {
            "name": "advice",
            "healthPath": "/healthz",
            "maxConns": 360,
            "engine": {
                "slots": 64,
                "kvCapacity": 1000,
                "models": [{"name": "small", "cost": 0.01}],
            },
        },
    ],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304},
    "tenants": [{"name": "ring", "apiKeys": [KEY]}],
}


def server_spec(service, address, **changes):
    """Return how an endpoint describes itself."""
    return {
        "service": service,
        "address": address,
        "zone": "mbeya",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "coldLeftMs": 0,
        "seqNo": 1,
        "born": 1000,
        **changes,
    }


@dataclass
class Platform:
    """A store and endpoints that listen."""

    store: StandinStore
    store_address: str
    endpoints: dict[str, StandinEndpoint] = field(default_factory=dict)
    addresses: dict[str, str] = field(default_factory=dict)


async def _listen(stack, server):
    listener = await asyncio.get_running_loop().create_server(server, "127.0.0.1", 0)
    stack.callback(listener.close)
    ip, port = listener.sockets[0].getsockname()
    return f"{ip}:{port}"


@asynccontextmanager
async def platform_up(endpoints=(("desk-1", "desk"), ("advice-1", "advice"))):
    """Start a store that lists the given endpoints, and these."""
    async with AsyncExitStack() as stack:
        store = StandinStore()
        runner = web.AppRunner(store.app(), access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        platform = Platform(store, f"127.0.0.1:{runner.addresses[0][1]}")
        store.put("config", "main", CONFIG)
        for name, service in endpoints:
            endpoint = StandinEndpoint(name)
            address = await _listen(stack, endpoint.server())
            platform.endpoints[name] = endpoint
            platform.addresses[name] = address
            store.put("servers", name, server_spec(service, address))
        yield platform


async def fetch(address, path, body=None, **headers):
    """Send a request as callers do; return status, headers and body."""
    held = {"Host": HOST, "X-Key": KEY, "X-Attempt-Id": "a1", "X-Deadline-Ms": "4000"}
    held |= {name.replace("_", "-"): value for name, value in headers.items()}
    method = "GET" if body is None else "POST"
    async with (
        aiohttp.ClientSession(auto_decompress=False) as session,
        session.request(
            method, f"http://{address}{path}", data=body, headers=held
        ) as resp,
    ):
        return resp.status, resp.headers, await resp.read()
