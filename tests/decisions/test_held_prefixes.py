"""Tests of what endpoints are taken to hold of prompts."""

import math

from radishshift.decisions.held_prefixes import MAX_AGE_S, HeldPrefixes
from tests.cases import TestCase

ENDPOINT = ("a", 1)
COMMON, SUBJECT, OTHER = ("m common", 500), ("m subject", 5000), ("m other", 5000)


class HeldPrefixesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.prefixes = HeldPrefixes()

    def _send(self, *parts, own_tokens=1000, room=math.inf, now=0.0):
        self.prefixes.record_sent(ENDPOINT, parts, own_tokens, room, now)

    def _held(self, *parts, endpoint=ENDPOINT, now=0.0):
        return self.prefixes.held_tokens(endpoint, parts, now)

    def test_the_parts_up_to_the_first_unknown_one_are_held(self):
        self._send(COMMON, SUBJECT)
        self.assertEqual(5500, self._held(COMMON, SUBJECT))
        self.assertEqual(500, self._held(COMMON, OTHER))
        self.assertEqual(0, self._held(OTHER, SUBJECT))

    def test_what_was_not_used_for_the_longest_time_yields(self):
        self._send(COMMON, SUBJECT, room=12_000)
        self._send(COMMON, OTHER, room=12_000, now=1.0)
        self.assertEqual(5500, self._held(COMMON, OTHER, now=1.0))
        self.assertEqual(500, self._held(COMMON, SUBJECT, now=1.0))

    def test_long_prompts_that_share_nothing_take_the_memory(self):
        self._send(COMMON, SUBJECT, room=50_000)
        self._send(own_tokens=48_000, room=50_000, now=1.0)
        self.assertEqual(0, self._held(COMMON, SUBJECT, now=1.0))

    def test_a_part_is_not_held_for_ever(self):
        self._send(COMMON)
        self.assertEqual(500, self._held(COMMON, now=MAX_AGE_S))
        self.assertEqual(0, self._held(COMMON, now=MAX_AGE_S + 0.1))

    def test_a_restarted_endpoint_holds_nothing(self):
        self._send(COMMON)
        self.assertEqual(0, self._held(COMMON, endpoint=("a", 2)))
        self.prefixes.keep_only({("a", 2)})
        self.assertEqual(0, self._held(COMMON))

    def test_a_prompt_larger_than_the_memory_leaves_nothing(self):
        self._send(COMMON, own_tokens=9000, room=5000)
        self.assertEqual(0, self._held(COMMON))
