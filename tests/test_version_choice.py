"""Tests of the selection of versions that a request may run on."""

from types import SimpleNamespace

from radishshift.errors import (
    NoEndpointError,
    NotAllowedError,
    NotFoundError,
    WithdrawnError,
)
from radishshift.manifests import build_catalogue
from radishshift.objects import Kind, StoredObject
from radishshift.sessions import Session
from radishshift.standins.deployment import small_catalogue
from radishshift.version_choice import eligible_versions, session_version
from tests.cases import TestCase

LARGE = "farm-advice-large"
NONE = frozenset()


def _catalogue(served=(f"{LARGE}.v1", f"{LARGE}.v2"), **states):
    specs = small_catalogue()
    for version, state in states.items():
        specs[f"{LARGE}.{version}"]["state"] = state
    items = [StoredObject(Kind.ENTRY, name, spec) for name, spec in specs.items()]
    spec = {
        "address": "http://127.0.0.1:9",
        "dataCentre": "mbeya",
        "serves": list(served),
    }
    items.append(StoredObject(Kind.ENDPOINT, "engine-1", spec))
    return build_catalogue(1, items)


def _request(catalogue, model, customer="uyole-ring"):
    contract = catalogue.contracts[customer]
    return SimpleNamespace(contract=contract, model=model, request_id="request-1")


class VersionChoiceTest(TestCase):
    def _names(self, catalogue, model, stopped=NONE):
        found = eligible_versions(catalogue, _request(catalogue, model), stopped)
        return {version.name for version in found}

    def test_only_served_versions_that_accept_new_sessions_are_eligible(self):
        catalogue = _catalogue(v1="retiring")
        self.assertEqual({f"{LARGE}.v2"}, self._names(catalogue, LARGE))
        self.assertEqual({f"{LARGE}.v2"}, self._names(catalogue, "auto"))

    def test_a_version_stopped_by_the_guard_is_not_eligible(self):
        catalogue = _catalogue()
        stopped = frozenset({f"{LARGE}.v2"})
        self.assertEqual({f"{LARGE}.v1"}, self._names(catalogue, LARGE, stopped))

    def test_the_error_type_gives_the_reason_of_a_refusal(self):
        withdrawn = _catalogue(v1="withdrawn", v2="withdrawn")
        for catalogue, model, error in (
            (withdrawn, f"{LARGE}.v1", WithdrawnError),
            (_catalogue(), "no-such-model", NotFoundError),
            (_catalogue(served=()), LARGE, NoEndpointError),
        ):
            req = _request(catalogue, model)
            self.assertRaises(error, eligible_versions, catalogue, req, NONE)

    def test_withdrawal_or_the_contract_ends_a_session(self):
        session = Session("s", "uyole-ring", f"{LARGE}.v1", 1e12)
        retiring = _catalogue(v1="retiring")
        req = _request(retiring, "auto")
        self.assertEqual(f"{LARGE}.v1", session_version(retiring, req, session).name)
        withdrawn = _catalogue(v1="withdrawn")
        self.assertRaises(WithdrawnError, session_version, withdrawn, req, session)
        req.contract = SimpleNamespace(allowed=frozenset())
        self.assertRaises(NotAllowedError, session_version, retiring, req, session)
