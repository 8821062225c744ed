"""Tests of the initial concurrency limit of a host."""

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
    local = Endpoint("engine-1", "http://127.0.0.1:9", "mbeya", serves, slots, False)
    remote = replace(local, name="engine-2", data_centre="iringa")
    endpoints = {"engine-1": local, "engine-2": remote}
    return replace(build_catalogue(1, items), endpoints=endpoints)


class InitialConcurrencyTest(TestCase):
    def test_a_new_host_starts_from_its_share_of_the_slots(self):
        """A fixed initial limit of 16 made a host of a large fleet refuse most load."""
        catalogue = _catalogue(600)
        self.assertEqual(
            300, initial_concurrency(catalogue, "mbeya", "farm-advice-large", 2)
        )
        self.assertEqual(600, initial_concurrency(catalogue, "mbeya", "auto", 1))

    def test_a_model_without_local_slots_starts_from_the_minimum(self):
        catalogue = _catalogue(600)
        self.assertEqual(
            MIN_INITIAL_LIMIT,
            initial_concurrency(catalogue, "mbeya", "booking-desk", 1),
        )
        self.assertEqual(
            MIN_INITIAL_LIMIT, initial_concurrency(catalogue, "njombe", "auto", 1)
        )
