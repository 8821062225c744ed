"""TCP connections that detect an unresponsive peer, and HTTP over them."""

import asyncio
import functools
import socket
import sys
from collections.abc import Callable, Mapping

import aiohttp
from aiohttp import http_writer

from radishshift import http_server as web
from radishshift.gateway.client_connections import BoundedResponseHandler
from radishshift.http_client import CheckedResponseHandler, checked_connector

__all__ = [
    "enable_keepalive",
    "keepalive_session",
    "read_body",
    "request_factory",
    "unread_s",
    "valid_text",
]

# A dead connection fails after 3 s without traffic: probes begin after 1 s and fail
# after 2 s more, the time in which a host that was cut off counts as reachable again.
# On Linux, TCP_USER_TIMEOUT decides when probes give up, whatever their count: the
# first probe that is due after it ends the connection.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
UNACKNOWLEDGED_TIMEOUT_MS = 2500  # age of unacknowledged bytes that ends a connection


def enable_keepalive(sock: socket.socket) -> None:
    """Enable TCP keepalive and a timeout of unacknowledged data; disable Nagle."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
    )


# Place of `tcpi_last_data_recv`, in ms, in the kernel's `struct tcp_info`.
LAST_RECEIVED_OFFSET = 52
MAX_UNREAD_S = 60.0  # what is older is taken for a number that means something else


def unread_s(sock: socket.socket | None) -> float:
    """Return the time since a TCP connection last received data, 0 if unknown."""
    if sock is None:
        return 0.0
    end = LAST_RECEIVED_OFFSET + 4
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, end)
    except OSError:
        return 0.0
    if len(info) < end:
        return 0.0
    age_s = int.from_bytes(info[LAST_RECEIVED_OFFSET:], sys.byteorder) / 1000
    return age_s if age_s <= MAX_UNREAD_S else 0.0


_serialize_ascii_head = http_writer._serialize_headers


def _serialize_head(first_line: str, headers: Mapping[str, str]) -> bytes:
    """Return the bytes of a head, with those that aren't UTF-8 as they were received.

    The parser stands surrogates for them, which the library's own function leaves out.
    """
    if first_line.isascii() and all(value.isascii() for value in headers.values()):
        return _serialize_ascii_head(first_line, headers)
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    for line in lines:
        http_writer._safe_header(line)
    return "\r\n".join([*lines, "\r\n"]).encode(errors="surrogateescape")


# The library has no option for it.
http_writer._serialize_headers = _serialize_head


def _open_socket(address: tuple) -> socket.socket:
    sock = socket.socket(address[0], address[1], address[2])
    sock.setblocking(False)
    enable_keepalive(sock)
    return sock


def keepalive_session(
    idle_s: float = 15.0,
    read_bytes: int = 1 << 16,
    max_bytes: tuple[int, int] | None = None,
    request_class: type[aiohttp.ClientRequest] = aiohttp.ClientRequest,
) -> aiohttp.ClientSession:
    """Return a client session for numeric IP addresses with TCP keepalive.

    The session neither decompresses bodies nor retries requests.

    Parameters
    ----------
    idle_s : float
        Time after which an idle connection is not reused.
    read_bytes : int
        Size of the read buffer of a body.
    max_bytes : tuple of int, optional
        Received bytes of a head, and of a complete response, over which a connection is
        closed.
    request_class : type, optional
    """
    handler = CheckedResponseHandler
    if max_bytes is not None:
        handler = functools.partial(BoundedResponseHandler, *max_bytes)
    connector = checked_connector(
        handler,
        limit=0,
        keepalive_timeout=idle_s,
        socket_factory=_open_socket,
        resolver=aiohttp.ThreadedResolver(loop=asyncio.get_running_loop()),
        use_dns_cache=False,
    )
    session = aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        read_bufsize=read_bytes,
        request_class=request_class,
    )
    # aiohttp retries idempotent methods by default. Here the route, or the code that
    # calls the store, decides what may be retried.
    session._retry_connection = False
    return session


def request_factory(max_body_bytes: int) -> Callable[..., web.BaseRequest]:
    """Return the factory of a server's requests, whose bodies are bounded."""

    def make(message, payload, protocol, writer, task) -> web.BaseRequest:
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            protocol._loop,
            client_max_size=max_body_bytes,
        )

    return make


def valid_text(header: str) -> str:
    """Return a header's value with its bytes that aren't UTF-8 escaped.

    As received, they can't be encoded, as hashes, logs and error bodies need.
    """
    if header.isascii():
        return header
    return header.encode(errors="backslashreplace").decode()


async def read_body(
    resp: aiohttp.ClientResponse,
    timeout: asyncio.Timeout,
    max_pause_s: float,
    max_s: float,
) -> bytes:
    """Return the body of a response that may take long to arrive.

    The time of the whole depends on its size and on what else uses the host's link, so
    only a pause counts as a lost response.

    Parameters
    ----------
    resp : aiohttp.ClientResponse
    timeout : asyncio.Timeout
        Limits the call; extended while bytes arrive.
    max_pause_s, max_s : float
        Longest pause between two parts, and longest time for the whole body.
    """
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + max_s
    parts = []
    async for part in resp.content.iter_any():
        parts.append(part)
        timeout.reschedule(min(loop.time() + max_pause_s, ends_at))
    return b"".join(parts)
