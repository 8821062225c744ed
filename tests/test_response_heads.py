"""Tests of the check of heads, without connections."""

from radishshift.response_heads import HeadCheck, MalformedHeadError
from tests.cases import TestCase

STATUS = b"HTTP/1.1 200 OK\r\n"
SOUND = (
    b"\r\n",
    b"A: b\r\n\r\n",
    b"A:b\nC: d \t\n\n",
    b"A:\r\nB: \r\n\r\n",
    b"!#$%&'*+-.^_`|~09azAZ: : x : \xff\tx\r\n\r\n",
)
MALFORMED = (
    b"A : b",
    b"A\t: b",
    b"A b: c",
    b"A\x01: b",
    b"A\x7f: b",
    b"A\x80: b",
    b"A(: b",
    b" A: b",
    b"\tA: b",
    b" ",
    b": b",
    b"A",
    b"\rA: b",
    b"A:\x01",
    b"A: b\x00",
    b"A: b\x1fc",
    b"A: b\x7f",
    b"A: b\rc",
    b"A: b\r\r",
)


def fed_bytewise(data):
    """Return the check of a head, and the bytes that it took one by one."""
    check = HeadCheck()
    taken = 0
    while taken < len(data) and not check.complete:
        taken += check.feed(data[taken : taken + 1])
    return check, taken


class HeadCheckTest(TestCase):
    def test_a_sound_head_ends_with_its_empty_line(self):
        for lines in SOUND:
            for before in (b"", b"\r\n", b"\n\r\n", b"\r"):
                head = before + STATUS + lines
                check = HeadCheck()
                self.assertEqual(len(head), check.feed(head + b"A : b\r\n"))
                self.assertTrue(check.complete)
                check, taken = fed_bytewise(head + b"A : b\r\n")
                self.assertEqual((True, len(head)), (check.complete, taken))

    def test_a_head_goes_on_until_its_empty_line(self):
        head = b"\r\n" + STATUS + b"A: b\r\nC: d\r\n\r"
        for end in range(len(head) + 1):
            check = HeadCheck()
            self.assertEqual(end, check.feed(head[:end]))
            self.assertFalse(check.complete)

    def test_a_head_in_two_parts_may_begin_within_the_data(self):
        head = b"\r\n" + STATUS + b"A: b\r\n\r\n"
        for split in range(len(head)):
            for skipped in range(len(head)):
                check = HeadCheck()
                self.assertEqual(split, check.feed(head[:split]))
                data = b"x" * skipped + head[split:] + b"rest"
                self.assertEqual(len(data) - 4, check.feed(data, skipped))
                self.assertTrue(check.complete)

    def test_a_line_that_is_no_header_is_refused(self):
        for line in MALFORMED:
            for before in (b"", b"A: b\r\n"):
                for end in (b"\r\n", b"\n"):
                    head = STATUS + before + line + end
                    exc = self.assertRaises(MalformedHeadError, HeadCheck().feed, head)
                    self.assertEqual(line + end, exc.line)
                    self.assertRaises(MalformedHeadError, fed_bytewise, head)
                    for empty in (b"\r", b"\n", b"\r\r\n"):
                        self.assertRaises(
                            MalformedHeadError, HeadCheck().feed, empty + head
                        )

    def test_an_error_quotes_the_beginning_of_a_line(self):
        head = STATUS + b" " + b"a" * 5000 + b"\r\n"
        exc = self.assertRaises(MalformedHeadError, HeadCheck().feed, head)
        self.assertLess(len(str(exc)), 200)
