"""Calls between hosts: a JSON message each way, over HTTP."""

from collections.abc import Callable
from typing import TypeVar

import aiohttp
import logbook
import msgspec
from aiohttp import web

__all__ = ["answer_peer", "call_peer"]

Message = TypeVar("Message", bound=msgspec.Struct)
Reply = TypeVar("Reply", bound=msgspec.Struct)

logger = logbook.Logger("peers")


async def call_peer(
    session: aiohttp.ClientSession,
    address: str,
    path: str,
    message: msgspec.Struct,
    reply_type: type[Reply],
) -> Reply:
    """Send a message to a peer and return its reply.

    Raises
    ------
    aiohttp.ClientError, OSError, msgspec.DecodeError
    """
    async with session.post(
        f"http://{address}{path}",
        data=msgspec.json.encode(message),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
    ) as resp:
        return msgspec.json.decode(await resp.read(), type=reply_type)


async def answer_peer(
    request: web.BaseRequest,
    message_type: type[Message],
    answer: Callable[[Message], msgspec.Struct],
) -> web.StreamResponse:
    """Answer a call of a peer; a malformed message gets status 400."""
    try:
        message = msgspec.json.decode(await request.read(), type=message_type)
    except msgspec.DecodeError as exc:
        logger.warning("received a malformed {}: {}", message_type.__name__, exc)
        return web.Response(status=400)
    reply = msgspec.json.encode(answer(message))
    return web.Response(body=reply, content_type="application/json")
