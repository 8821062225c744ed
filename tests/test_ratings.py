"""Tests of whose score and rating an answer gets."""

from contextlib import asynccontextmanager

from radishshift.clocks import SystemClock
from radishshift.listening import listening
from radishshift.ratings import AnswerToRate, open_ratings
from radishshift.standins.ratings import StandinRatings
from tests.cases import TestCase
from tests.test_engine_connections import RepeatingEndpoint, answer

TIMEOUT_S = 5.0
PERIOD_S = 3600.0


def answer_to_rate(customer, version="small.v1"):
    return AnswerToRate("id-1", customer, "chat", version, b"{}", b"{}")


@asynccontextmanager
async def ratings_of(address):
    clock = SystemClock()
    async with open_ratings(clock, address, "entry-1-1", TIMEOUT_S, PERIOD_S) as client:
        yield client


class RatingsTest(TestCase):
    async def test_a_score_is_not_that_of_an_earlier_answer(self):
        """A bad answer was accepted with the copy of a good one's score."""
        scores = [0.9, 0.1]
        replies = [
            answer(200, f'{{"score": {score}}}', "application/json") for score in scores
        ]
        endpoint = RepeatingEndpoint(replies)
        async with (
            endpoint.listening() as service,
            ratings_of(service.address) as ratings,
        ):
            deadline = SystemClock().now() + TIMEOUT_S
            given = [
                await ratings.score(answer_to_rate(f"customer-{number}"), deadline)
                for number in range(2)
            ]
        self.assertEqual(scores, given)

    async def test_requests_with_one_id_get_a_rating_each(self):
        """Customers choose the ids; one customer's rating was counted for another."""
        service = StandinRatings()
        received = []
        async with listening(service.app()) as address, ratings_of(address) as ratings:
            for customer, score in (("uyole-ring", 0.2), ("igurusi-ring", 0.8)):
                service.default_score = score
                await ratings.request_rating(
                    answer_to_rate(customer),
                    lambda rating, customer=customer: received.append(
                        (customer, rating)
                    ),
                )
            await ratings.fetch()
        self.assertEqual([("uyole-ring", 0.2), ("igurusi-ring", 0.8)], received)

    async def test_a_status_below_100_gives_no_score(self):
        endpoint = RepeatingEndpoint([answer("000", '{"score": 0.9}')])
        async with (
            endpoint.listening() as service,
            ratings_of(service.address) as ratings,
        ):
            deadline = SystemClock().now() + TIMEOUT_S
            score = await ratings.score(answer_to_rate("uyole-ring"), deadline)
        self.assertIsNone(score)
