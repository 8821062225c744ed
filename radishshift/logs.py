"""Logging as JSON lines."""

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from typing import TextIO

import logbook
import msgspec

__all__ = ["JsonLinesHandler", "log_json_to", "log_request_id"]


class JsonLinesHandler(logbook.StreamHandler):
    """Writes each record as one JSON object on a line."""

    def format(self, record: logbook.LogRecord) -> str:
        """Return a record as a line of JSON."""
        line = {
            "time": record.time.isoformat(timespec="milliseconds"),
            "level": record.level_name.lower(),
            "logger": record.channel,
            "message": record.message,
            **record.extra,
        }
        if record.exception_name:
            line["exception"] = record.formatted_exception
        return msgspec.json.encode(line, enc_hook=str).decode()


def log_json_to(
    stream: TextIO = sys.stderr, level: int = logbook.INFO
) -> JsonLinesHandler:
    """Write all logs to a stream; the handler's `pop_application` undoes this."""
    handler = JsonLinesHandler(stream, level=level)
    handler.push_application()
    return handler


@contextmanager
def log_request_id(request_id: str) -> Iterator[None]:
    """Add a request's id to the log records of this task and the tasks it creates."""

    def add_request_id(record: logbook.LogRecord) -> None:
        record.extra["request_id"] = request_id

    with logbook.Processor(add_request_id).contextbound():
        yield
