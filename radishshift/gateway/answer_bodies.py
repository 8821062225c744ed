"""Bodies of complete answers, whose memory is bounded over all that are received."""

from radishshift.errors import EndlessAnswerError
from radishshift.gateway.messages import EndpointAnswer

__all__ = ["BodyBudget"]

MAX_BUFFERED_BYTES = 8_000_000


class BodyBudget:
    """Bytes of the complete answers that are being received."""

    def __init__(self) -> None:
        self._total_bytes = 0

    async def read(self, answer: EndpointAnswer) -> bytes:
        """Read the complete body of an answer.

        Raises
        ------
        StreamBrokenError
            `EndlessAnswerError` if all bodies together exceed the bound.
        """
        chunks = []
        own_bytes = 0
        try:
            while chunk := await answer.chunk():
                chunks.append(chunk)
                own_bytes += len(chunk)
                self._total_bytes += len(chunk)
                if self._total_bytes > MAX_BUFFERED_BYTES:
                    answer.abort()
                    raise EndlessAnswerError("answers under way exceed their bound")
        finally:
            self._total_bytes -= own_bytes
        return b"".join(chunks)
