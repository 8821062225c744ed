"""Heads of HTTP responses, checked line by line as they arrive.

What a router passes on, or takes for the length of a body, must mean the same to all
who read it. Parsers of clients are lenient: they take a blank before the colon for a
part of the name, and join a line that begins with a blank to the value before. A proxy
may do neither (RFC 9112, sections 5.1 and 5.2). They also keep control characters in a
value, which no server may send on (RFC 9110, section 5.5).
"""

import re

__all__ = ["HeadCheck", "MalformedHeadError"]

MAX_QUOTED_BYTES = 80  # of a malformed line, in an error

# Servers may send empty lines before a response.
_STATUS_LINE = re.compile(rb"[\r\n]*[^\r\n][^\n]*\n")
_HEADERS = re.compile(
    rb"(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*\r?\n)*"
)
_EMPTY_LINE = re.compile(rb"\r?\n")


class MalformedHeadError(ValueError):
    """A line of a head is no header.

    Attributes
    ----------
    line : bytes
        Its beginning.
    """

    def __init__(self, line: bytes) -> None:
        self.line = line[:MAX_QUOTED_BYTES]
        super().__init__(f"malformed line {self.line!r} in the head of a response")


class HeadCheck:
    """Checks the lines of one head.

    The status line is left to the parser, as are the lengths of lines.

    Attributes
    ----------
    complete : bool
        Whether the head has ended.
    """

    def __init__(self) -> None:
        self.complete = False
        self._in_headers = False
        self._line = b""  # that has no end yet

    def feed(self, data: bytes, start: int = 0) -> int:
        """Check the bytes from an index on; return the index at which the head ends.

        That is the length of the data if the head goes on.

        Raises
        ------
        MalformedHeadError
        """
        before = start - len(self._line)
        if start or self._line:
            data = self._line + data[start:]
        end = 0
        if not self._in_headers:
            match = _STATUS_LINE.match(data)
            if match is None:
                self._line = data.lstrip(b"\r\n")
                return before + len(data)
            self._in_headers = True
            end = match.end()
        end = _HEADERS.match(data, end).end()
        if match := _EMPTY_LINE.match(data, end):
            self.complete = True
            return before + match.end()
        line_end = data.find(b"\n", end)
        if line_end >= 0:
            raise MalformedHeadError(data[end : line_end + 1])
        self._line = data[end:]
        return before + len(data)
