"""A server that logs connections which end with requests unanswered."""

from collections.abc import Iterator

import logbook
from aiohttp.web_protocol import RequestHandler

from radishshift import http_server as web
from radishshift.gateway.sockets import valid_text

__all__ = ["LoggingHandler", "LoggingServer"]

logger = logbook.Logger("connections")


class LoggingHandler(RequestHandler):
    """One connection; logs its end if a request that was received has no answer."""

    id_header = ""

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the connection, and log the requests that lose their answer by that."""
        states = list(self._unanswered())
        if exc is not None:
            reason = repr(exc)
        elif self._force_close:
            reason = "closed by this host"
        else:
            reason = "closed by the caller"
        super().connection_lost(exc)
        for request_id, state in states:
            logger.warning(
                "connection ended without an answer",
                extra={"request_id": request_id, "state": state, "reason": reason},
            )

    def _unanswered(self) -> Iterator[tuple[str, str]]:
        """Yield the ID and the state of each request that has no complete answer."""
        # The library has no public view of them.
        request = self._current_request
        if request is not None:
            yield self._id_of(request.headers), _state_of(request)
        for message, _ in self._messages:
            yield self._id_of(getattr(message, "headers", {})), "waiting"

    def _id_of(self, headers) -> str:
        return valid_text(headers.get(self.id_header, ""))


def _state_of(request: web.BaseRequest) -> str:
    """Return how far the request came that is being answered."""
    if request.writer is not None and request.writer.output_size > 0:
        return "answer begun"
    return "in work" if request.content.is_eof() else "receiving its body"


class LoggingServer(web.Server):
    """Server that logs connections which end with requests unanswered.

    Parameters
    ----------
    handler : callable
        As for `Server`, like the other options.
    id_header : str
        Header with the ID of a request.
    """

    def __init__(self, handler, *, id_header: str, **options) -> None:
        super().__init__(handler, **options)
        self._id_header = id_header

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        conn = LoggingHandler(self, loop=self._loop, **self._kwargs)
        conn.id_header = self._id_header
        return conn
