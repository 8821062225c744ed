"""Tests of stored answers, of this host and of other hosts."""

import asyncio

from radishshift.answers import Answers
from radishshift.clocks import SystemClock
from radishshift.errors import (
    AnswerTooLargeError,
    DeadlineError,
    KeyReusedError,
    NotFoundError,
    OverloadedError,
)
from radishshift.hosts import Host
from radishshift.peers import MemoryPeers, PeerUnavailableError
from radishshift.remote_answers import RemoteAnswers
from tests.cases import TestCase

CUSTOMER = "uyole-ring"


class RecordingSink:
    """A sink that records what it receives."""

    def __init__(self):
        self.caller_disconnected = False
        self.answer = None
        self.data = b""

    async def start(self, answer):
        self.answer = answer

    async def write(self, data):
        self.data += data

    def push(self, data):
        self.data += data
        return True

    async def drain(self):
        pass


class AnswersTest(TestCase):
    def test_memory_is_bounded_and_the_oldest_ended_are_evicted_first(self):
        answers = Answers(5000, 3000)
        first, second = (answers.open(f"id-{n}", CUSTOMER, 10.0) for n in range(2))
        first.append(b"x" * 2000)
        first.end()
        second.append(b"x" * 900)
        self.assertEqual(2 * 1024 + 2900, answers.held_bytes)
        third = answers.open("id-2", CUSTOMER, 10.0)
        self.assertRaises(NotFoundError, answers.find, "id-0", CUSTOMER)
        self.assertEqual(1, answers.dropped)
        third.append(b"x" * 1500)
        self.assertRaises(AnswerTooLargeError, third.append, b"x" * 900)
        self.assertRaises(OverloadedError, answers.open, "id-3", CUSTOMER, 10.0)
        self.assertEqual(2, answers.refused)
        self.assertLessEqual(answers.held_bytes, 5000)

    def test_complete_answers_are_not_evicted_for_one_that_is_refused(self):
        """A resend of a complete answer ran and was billed again."""
        answers = Answers(8000)
        answers.open("id-0", CUSTOMER, 10.0, "key", "print").end()
        running = answers.open("id-1", CUSTOMER, 10.0)
        running.append(b"x" * 5000)
        self.assertRaises(AnswerTooLargeError, running.append, b"x" * 2000)
        found = answers.find_resent(CUSTOMER, "id-3", "key", "print")
        self.assertIs(answers.find("id-0", CUSTOMER), found)

    def test_the_size_of_one_answer_is_bounded(self):
        answer = Answers(9000, 3000).open("id-0", CUSTOMER, 10.0)
        self.assertRaises(AnswerTooLargeError, answer.append, b"x" * 3001)

    def test_expired_answers_are_removed(self):
        answers = Answers(9000)
        answers.open("id-0", CUSTOMER, 10.0, "key", "print").end()
        answers.drop_expired(9.0)
        found = answers.find_resent(CUSTOMER, "id-1", "key", "print")
        self.assertIs(answers.find("id-0", CUSTOMER), found)
        answers.drop_expired(10.0)
        self.assertEqual(0, len(answers))
        self.assertEqual(0, answers.held_bytes)

    def test_a_key_belongs_to_one_request_of_one_customer(self):
        answers = Answers(9000)
        answers.open("id-0", CUSTOMER, 10.0, "key", "print")
        find = answers.find_resent
        self.assertRaises(KeyReusedError, find, CUSTOMER, "id-1", "key", "other")
        self.assertRaises(KeyReusedError, find, CUSTOMER, "id-0", "", "other")
        self.assertIs(None, find("igurusi-ring", "id-0", "key", "print"))

    async def test_readers_follow_an_answer_from_their_positions(self):
        answer = Answers(9000).open("id-0", CUSTOMER, 10.0)
        sinks = [RecordingSink(), RecordingSink()]
        readers = asyncio.gather(answer.replay(sinks[0]), answer.replay(sinks[1], 2))
        await asyncio.sleep(0)
        answer.start()
        for part in (b"ab", b"cd"):
            answer.append(part)
            await asyncio.sleep(0)
        answer.end()
        await readers
        self.assertEqual([b"abcd", b"cd"], [sink.data for sink in sinks])


class RemoteAnswersTest(TestCase):
    def setUp(self):
        super().setUp()
        network = {}
        self.peers = {}
        self.answers = {}
        self.remote = {}
        for name in ("entry-1", "entry-2", "entry-3"):
            host = Host(name, "mbeya", "tz-south", "")
            self.peers[name] = MemoryPeers(host, network)
            self.answers[name] = Answers(1_000_000)
            self.remote[name] = RemoteAnswers(
                self.peers[name], self.answers[name], SystemClock()
            )

    async def test_an_answer_is_followed_through_another_host(self):
        answer = self.answers["entry-2"].open("id-0", CUSTOMER, 10.0)
        answer.headers["X-Request-Id"] = "id-0"
        answer.start()
        answer.append(b"data: 0\n\n")
        sink = RecordingSink()
        reading = asyncio.ensure_future(
            self.remote["entry-1"].replay("id-0", CUSTOMER, sink, events=1)
        )
        await asyncio.sleep(0)
        answer.append(b"data: 1\n\n")
        answer.end(DeadlineError("the deadline has passed"))
        exc = await self.assert_raises_async(DeadlineError, reading)
        self.assertEqual("may-have-run", exc.verdict)
        self.assertEqual(b"data: 1\n\n", sink.data)
        self.assertEqual({"X-Request-Id": "id-0"}, sink.answer.headers)

    async def test_a_host_sees_that_another_follows_its_answer(self):
        """It cancelled the answer as its own caller had left."""
        answer = self.answers["entry-2"].open("id-0", CUSTOMER, 10.0)
        replay = self.remote["entry-1"].replay("id-0", CUSTOMER, RecordingSink())
        reading = asyncio.ensure_future(replay)
        await asyncio.sleep(0.01)
        now = SystemClock().now()
        self.assertTrue(answer.is_followed(now))
        self.assertFalse(answer.is_followed(now + 5.0))
        answer.start()
        answer.end()
        await reading

    async def test_a_complete_answer_goes_before_a_failed_one_of_another_host(self):
        """After a resend through a third host the caller got the first one's error."""
        failed = self.answers["entry-2"].open("id-0", CUSTOMER, 10.0)
        failed.end(DeadlineError("the deadline has passed"))
        complete = self.answers["entry-3"].open("id-0", CUSTOMER, 10.0)
        complete.start()
        complete.append(b"data: 0\n\n")
        complete.end()
        sink = RecordingSink()
        await self.remote["entry-1"].replay("id-0", CUSTOMER, sink)
        self.assertEqual(b"data: 0\n\n", sink.data)

    async def test_an_answer_is_not_found_by_another_customer(self):
        self.answers["entry-2"].open("id-0", CUSTOMER, 10.0)
        replay = self.remote["entry-1"].replay("id-0", "igurusi-ring", RecordingSink())
        await self.assert_raises_async(NotFoundError, replay)

    async def test_with_an_unreachable_host_an_answer_is_not_reported_as_missing(self):
        self.peers["entry-1"].cut.add("entry-3")
        replay = self.remote["entry-1"].replay("id-0", CUSTOMER, RecordingSink())
        exc = await self.assert_raises_async(PeerUnavailableError, replay)
        self.assertIsNot(None, exc.retry_after_s)

    async def test_an_answer_does_not_go_on_with_that_of_a_later_run(self):
        """A slow caller got the first half of one answer and the second of another."""
        answers = self.answers["entry-2"]
        first = answers.open("id-0", CUSTOMER, 10.0)
        first.start()
        first.append(b"data: 0 of the first\n\n")

        class SlowSink(RecordingSink):
            async def write(self, data):
                await super().write(data)
                if not first.ended:
                    first.end(DeadlineError("the deadline has passed"))
                    second = answers.open("id-0", CUSTOMER, 10.0)
                    second.start()
                    second.append(b"data: 0 of the second\n\ndata: 1 of the second\n\n")
                    second.end()

        sink = SlowSink()
        replay = self.remote["entry-1"].replay("id-0", CUSTOMER, sink)
        await self.assert_raises_async(NotFoundError, replay)
        self.assertEqual(b"data: 0 of the first\n\n", sink.data)
