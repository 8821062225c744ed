"""Tests of evidence: merging, expiry, level changes and bounds."""

from radishshift.evidence import (
    EPOCH_S,
    EPOCHS_KEPT,
    RATINGS,
    Cell,
    Evidence,
)
from tests.cases import TestCase

NOW = 1_000_000.0
CELL = Cell("small.v1", "draft")


class EvidenceTest(TestCase):
    def test_merging_counts_is_idempotent_in_any_order(self):
        """Heartbeats may be duplicated, reordered or lost."""
        sender = Evidence("a/1")
        copies = []
        for _ in range(3):
            sender.record_rating(CELL, 0.5, now=NOW)
            copies.append(
                [(o, c, e, counts.copy()) for o, c, e, counts in sender.own_counts()]
            )
        receiver = Evidence("b/1")
        receiver.drop_old_epochs(NOW)
        for number in (1, 0, 2, 2, 1):
            for row in copies[number]:
                receiver.merge(*row)
        self.assertEqual(3, receiver.recent_counts(CELL).counts[RATINGS])
        self.assertEqual(3, receiver.totals["small.v1"][RATINGS])

    def test_own_counts_returned_by_a_peer_are_not_merged(self):
        evidence = Evidence("a/1")
        evidence.record_rating(CELL, 0.5, now=NOW)
        for row in list(evidence.own_counts()):
            self.assertFalse(evidence.merge(*row))

    def test_old_epochs_are_dropped_but_none_when_the_clock_steps_back(self):
        evidence = Evidence()
        evidence.record_rating(CELL, 0.5, now=NOW)
        evidence.record_rating(CELL, 0.5, now=NOW - EPOCH_S * 100)
        self.assertEqual(2, evidence.recent_counts(CELL).counts[RATINGS])
        evidence.drop_old_epochs(NOW + EPOCH_S * (EPOCHS_KEPT + 1))
        self.assertEqual(0, evidence.recent_counts(CELL).counts[RATINGS])

    def test_counts_from_a_clock_far_ahead_are_rejected(self):
        sender = Evidence("a/1")
        sender.record_rating(CELL, 0.5, now=NOW + EPOCH_S * 10)
        receiver = Evidence("b/1")
        receiver.drop_old_epochs(NOW)
        for row in sender.own_counts():
            self.assertFalse(receiver.merge(*row))

    def test_a_change_of_level_excludes_older_ratings(self):
        evidence = Evidence()
        for number in range(400):
            now = NOW + number * 30
            evidence.record_rating(CELL, 0.9 if number < 200 else 0.4, now=now)
        estimate = evidence.quality("small.v1", "draft", 0.9)
        self.assertTrue(estimate.mean < 0.45, estimate)

    def test_a_rating_out_of_range_is_ignored(self):
        evidence = Evidence()
        for rating in (-1.0, 2.0, float("nan")):
            evidence.record_rating(CELL, rating, now=NOW)
        self.assertEqual(0, evidence.recent_counts(CELL).counts[RATINGS])

    def test_the_number_of_cells_is_bounded(self):
        evidence = Evidence()
        for number in range(3000):
            evidence.record_rating(Cell(f"v{number}", "draft"), 0.5, now=NOW)
        self.assertTrue(len(list(evidence.own_counts())) <= 1024)
