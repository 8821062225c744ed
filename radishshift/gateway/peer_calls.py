"""Calls between hosts: a JSON message each way, over HTTP.

Long messages are compressed: the links of some hosts carry 10 Mbit/s, and a large
configuration, of which each line resembles the next, is sent by many hosts at once.
"""

import asyncio
import functools
import zlib
from collections.abc import Callable, Mapping
from contextlib import AbstractContextManager, nullcontext
from typing import TypeVar

import aiohttp
import logbook
import msgspec

from radishshift import http_server as web
from radishshift.gateway.bounded_ports import read_message
from radishshift.gateway.sockets import read_body
from radishshift.json_entries import decode_struct

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
# A message over the smallest link of a deployment, 5 Mbit/s, shared with four others.
MIN_BYTES_PER_S = 125_000
MAX_REPLY_S = 10.0

Message = TypeVar("Message", bound=msgspec.Struct)
Reply = TypeVar("Reply", bound=msgspec.Struct)

# Surrounds the arrival of a message of so many bytes.
Receiving = Callable[[int], AbstractContextManager[None]]

logger = logbook.Logger("peers")


def _ignore(size: int) -> AbstractContextManager[None]:
    return nullcontext()


async def call_peer(
    session: aiohttp.ClientSession,
    address: str,
    path: str,
    message: msgspec.Struct,
    reply_type: type[Reply],
    timeout_s: float = MAX_REPLY_S,
    receiving: Receiving = _ignore,
    by_entry: bool = False,
) -> Reply:
    """Send a message to a peer and return its reply.

    Parameters
    ----------
    session : aiohttp.ClientSession
    address, path : str
    message : msgspec.Struct
    reply_type : type
    timeout_s : float, optional
        Time until the reply begins, besides that to send a long message, and longest
        pause in it.
    receiving : callable, optional
        Returns a context for the arrival of a reply of a number of bytes.
    by_entry : bool, optional
        Whether a reply is of use without those entries of its lists and dicts that
        can't be read, as of a host of another release.

    Raises
    ------
    TimeoutError, aiohttp.ClientError, OSError, msgspec.DecodeError
    """
    body, headers = encode_body(message)
    async with (
        asyncio.timeout(timeout_s + len(body) / MIN_BYTES_PER_S) as timeout,
        session.post(
            f"http://{address}{path}",
            data=body,
            headers={"Accept-Encoding": ENCODING, **headers},
            skip_auto_headers=("User-Agent", "Accept"),
        ) as resp,
    ):
        with receiving(resp.content_length or 0):
            reply = await read_body(resp, timeout, timeout_s, MAX_REPLY_S)
    return decode_body(reply, resp.headers, reply_type, by_entry)


async def answer_peer(
    request: web.BaseRequest,
    message_type: type[Message],
    answer: Callable[[Message], msgspec.Struct],
    receiving: Receiving = _ignore,
    by_entry: bool = False,
) -> web.StreamResponse:
    """Answer a call of a peer; a malformed message gets status 400.

    `receiving` returns a context for the arrival of a message of a number of bytes.
    `by_entry` is that of `call_peer`, for the message.
    """
    with receiving(request.content_length or 0):
        body = await read_message(request)
    try:
        message = _decode(body, message_type, by_entry)  # decompressed by the server
    except (msgspec.DecodeError, RecursionError) as exc:
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
    body: bytes,
    headers: Mapping[str, str],
    message_type: type[Message],
    by_entry: bool = False,
) -> Message:
    """Return the message of a body.

    Raises
    ------
    msgspec.DecodeError
    """
    if headers.get("Content-Encoding") == ENCODING:
        body = _decompress(body)
    return _decode(body, message_type, by_entry)


def _decode(body: bytes, message_type: type[Message], by_entry: bool) -> Message:
    try:
        return msgspec.json.decode(body, type=message_type)
    except (msgspec.DecodeError, RecursionError):
        if not by_entry:
            raise
        return decode_struct(
            body,
            message_type,
            lambda field, exc: _warn_once(message_type.__name__, field, str(exc)),
        )


@functools.lru_cache(maxsize=64)
def _warn_once(message: str, field: str, error: str) -> None:
    """Log what is left out of messages; peers repeat it with each of theirs."""
    logger.warning("left an entry of {} out of a {}: {}", field, message, error)


def _decompress(body: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(body, MAX_MESSAGE_BYTES)
    except zlib.error as exc:
        raise msgspec.DecodeError(f"malformed compression: {exc}") from exc
    if not decompressor.eof:
        raise msgspec.DecodeError("a compressed message is cut off, or too long")
    return data
