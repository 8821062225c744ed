"""Tests of the room that a host starts from."""

from dataclasses import replace

from radishshift.catalogue import Catalogue
from radishshift.concurrency_limit import MIN_INITIAL_LIMIT, initial_concurrency
from radishshift.endpoints import Endpoint
from radishshift.manifests import build_catalogue
from radishshift.objects import Kind, StoredObject
from radishshift.standins.deployment import small_catalogue
from tests.cases import TestCase


def _catalogue(slots: int) -> Catalogue:
    specs = small_catalogue()
    items = [StoredObject(Kind.ENTRY, name, spec) for name, spec in specs.items()]
    serves = frozenset({"farm-advice-large.v1"})
    near = Endpoint("engine-1", "http://127.0.0.1:9", "mbeya", serves, slots, False)
    far = replace(near, name="engine-2", data_centre="iringa")
    endpoints = {"engine-1": near, "engine-2": far}
    return replace(build_catalogue(1, items), endpoints=endpoints)


class InitialConcurrencyTest(TestCase):
    def test_a_fresh_host_starts_from_its_part_of_the_slots(self):
        """It started from 16 whatever the fleet, and refused most of its load."""
        catalogue = _catalogue(600)
        self.assertEqual(
            300, initial_concurrency(catalogue, "mbeya", "farm-advice-large", 2)
        )
        self.assertEqual(600, initial_concurrency(catalogue, "mbeya", "auto", 1))

    def test_a_model_without_slots_here_starts_from_the_least(self):
        catalogue = _catalogue(600)
        self.assertEqual(
            MIN_INITIAL_LIMIT,
            initial_concurrency(catalogue, "mbeya", "booking-desk", 1),
        )
        self.assertEqual(
            MIN_INITIAL_LIMIT, initial_concurrency(catalogue, "njombe", "auto", 1)
        )
