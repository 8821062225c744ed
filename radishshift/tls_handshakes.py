"""TLS handshakes of a listening port, with bounds on their number, time and memory.

A server of the event loop doesn't tell its protocols of a connection before the
handshake is complete, so that those that never finish count nowhere.
"""

import asyncio
import ssl
from asyncio.sslproto import SSLProtocol
from collections.abc import Callable

__all__ = ["TlsHandshakes"]

RECEIVE_BYTES = 1 << 15


class _TlsProtocol(SSLProtocol):
    """TLS over a connection, with a receive buffer of its own size."""

    max_size = RECEIVE_BYTES


class _Accepted(asyncio.Protocol):
    """A connection that has just been accepted."""

    def __init__(self, handshakes: "TlsHandshakes") -> None:
        self._handshakes = handshakes

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Begin the handshake."""
        self._handshakes.begin(transport)


class TlsHandshakes:
    """Factory of the protocols of a TLS port, for a server without TLS.

    Parameters
    ----------
    context : ssl.SSLContext
    make_protocol : callable
        Returns the protocol of a connection whose handshake is complete.
    most : int
        Handshakes under way at once; a further one ends the oldest.
    timeout_s : float
        Time after which a handshake is ended, in seconds.
    """

    def __init__(
        self,
        context: ssl.SSLContext,
        make_protocol: Callable[[], asyncio.Protocol],
        most: int,
        timeout_s: float,
    ) -> None:
        self._context = context
        self._make_protocol = make_protocol
        self._most = most
        self._timeout_s = timeout_s
        self._begun: dict[asyncio.Transport, None] = {}

    def __len__(self) -> int:
        return len(self._begun)

    def __call__(self) -> asyncio.Protocol:
        """Return the protocol of a connection that is accepted."""
        return _Accepted(self)

    def begin(self, transport: asyncio.Transport) -> None:
        """Begin the handshake of a connection."""
        loop = asyncio.get_running_loop()
        while len(self._begun) >= self._most:
            oldest = next(iter(self._begun))
            del self._begun[oldest]
            oldest.abort()
        self._begun[transport] = None
        done = loop.create_future()
        done.add_done_callback(lambda _: self._end(transport, done))
        protocol = _TlsProtocol(
            loop,
            self._make_protocol(),
            self._context,
            done,
            server_side=True,
            ssl_handshake_timeout=self._timeout_s,
        )
        transport.set_protocol(protocol)
        protocol.connection_made(transport)

    def _end(self, transport: asyncio.Transport, done: asyncio.Future) -> None:
        done.exception()  # of a caller that the protocol has closed already
        self._begun.pop(transport, None)
