"""Tests of the bounded memory of what was last heard of."""

from collections import OrderedDict

from radishshift.recent import put_newest
from tests.cases import TestCase


class PutNewestTest(TestCase):
    def test_what_was_put_first_is_dropped(self):
        recent = OrderedDict()
        for key, value in (("a", 1), ("b", 2), ("a", 3), ("c", 4)):
            put_newest(recent, key, value, 2)
        self.assertEqual([("a", 3), ("c", 4)], list(recent.items()))
