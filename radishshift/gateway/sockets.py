"""Connections that notice a silent other end."""

import asyncio
import socket

import aiohttp

__all__ = ["enable_keepalive", "keepalive_session"]

# Probes begin after 1 s of quiet and give up after 2 more, the time in which a
# host that was cut off counts as in touch again.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
UNACKNOWLEDGED_MS = 2500  # bytes in flight that long mean a dead path


def enable_keepalive(sock: socket.socket) -> None:
    """Let the kernel probe a connection, and send small writes at once."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)


def _open_socket(address: tuple) -> socket.socket:
    sock = socket.socket(address[0], address[1], address[2])
    sock.setblocking(False)
    enable_keepalive(sock)
    return sock


def keepalive_session(
    idle_s: float = 15.0, read_bytes: int = 1 << 16
) -> aiohttp.ClientSession:
    """Return a session to IP numbers whose connections are probed.

    It hands on bodies as they come and sends nothing twice by itself.

    Parameters
    ----------
    idle_s : float
        Time after which an idle connection is not used again.
    read_bytes : int
        Bytes of a body that are read ahead.
    """
    connector = aiohttp.TCPConnector(
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
    )
    # aiohttp repeats idempotent methods by itself; what may be repeated is decided
    # by the route or by the caller of the store.
    session._retry_connection = False
    return session
