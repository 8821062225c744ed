"""The connection that carries the stream of an attempt, until another carries it."""

from contextlib import AbstractAsyncContextManager, AsyncExitStack

from radishshift.engines import EngineStream

__all__ = ["StreamConnection"]


class StreamConnection:
    """The connection that carries the stream of an attempt; a context manager.

    Attributes
    ----------
    stream : EngineStream or None
        None before the first one is open, and after it has failed.
    stalled : bool
        Whether it was silent for too long, so that it is to be replaced.
    """

    def __init__(self) -> None:
        self.stream: EngineStream | None = None
        self.stalled = False
        self._opened = AsyncExitStack()

    async def __aenter__(self) -> "StreamConnection":
        return self

    async def __aexit__(self, *exc_info) -> None:
        await self.close()

    async def replace(self, opening: AbstractAsyncContextManager[EngineStream]) -> None:
        """Open the next connection, then close the last one; keep it if that fails."""
        opened = AsyncExitStack()
        stream = await opened.enter_async_context(opening)
        last, self._opened, self.stream = self._opened, opened, stream
        await last.aclose()

    async def close(self) -> None:
        """Close the connection."""
        self.stream = None
        await self._opened.aclose()
