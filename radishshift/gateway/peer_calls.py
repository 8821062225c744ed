"""Calls between hosts: a JSON message each way, over HTTP.

Long messages are compressed: the links of some hosts carry 10 Mbit/s, and a large
configuration, of which each line resembles the next, is sent by many hosts at once.
"""

import zlib
from collections.abc import Callable, Mapping
from typing import TypeVar

import aiohttp
import logbook
import msgspec

from radishshift import http_server as web

__all__ = [
    "MAX_MESSAGE_BYTES",
    "answer_peer",
    "call_peer",
    "decode_body",
    "encode_body",
]

ENCODING = "deflate"  # the zlib format of RFC 1950
MIN_COMPRESSED_BYTES = 4096
FASTEST_LEVEL = 1
MAX_MESSAGE_BYTES = 16 << 20

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
    body, headers = encode_body(message)
    async with session.post(
        f"http://{address}{path}",
        data=body,
        headers={"Accept-Encoding": ENCODING, **headers},
        skip_auto_headers=("User-Agent", "Accept"),
    ) as resp:
        return decode_body(await resp.read(), resp.headers, reply_type)


async def answer_peer(
    request: web.BaseRequest,
    message_type: type[Message],
    answer: Callable[[Message], msgspec.Struct],
) -> web.StreamResponse:
    """Answer a call of a peer; a malformed message gets status 400."""
    try:
        # The server has decompressed the body.
        message = msgspec.json.decode(await request.read(), type=message_type)
    except msgspec.DecodeError as exc:
        logger.warning("received a malformed {}: {}", message_type.__name__, exc)
        return web.Response(status=400)
    # A host of an earlier release reads only what is not compressed.
    compress = request.headers.get("Accept-Encoding") == ENCODING
    body, headers = encode_body(answer(message), compress)
    return web.Response(body=body, headers=headers, content_type="application/json")


def encode_body(
    message: msgspec.Struct, compress: bool = True
) -> tuple[bytes, dict[str, str]]:
    """Return the body of a message, compressed if it is long, with its headers."""
    body = msgspec.json.encode(message)
    if not compress or len(body) < MIN_COMPRESSED_BYTES:
        return body, {}
    return zlib.compress(body, FASTEST_LEVEL), {"Content-Encoding": ENCODING}


def decode_body(
    body: bytes, headers: Mapping[str, str], message_type: type[Message]
) -> Message:
    """Return the message of a body.

    Raises
    ------
    msgspec.DecodeError
    """
    if headers.get("Content-Encoding") == ENCODING:
        body = _decompress(body)
    return msgspec.json.decode(body, type=message_type)


def _decompress(body: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(body, MAX_MESSAGE_BYTES)
    except zlib.error as exc:
        raise msgspec.DecodeError(f"malformed compression: {exc}") from exc
    if not decompressor.eof:
        raise msgspec.DecodeError("a compressed message is cut off, or too long")
    return data
