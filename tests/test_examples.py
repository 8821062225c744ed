"""Tests that the example settings and catalogues for operators are valid."""

from pathlib import Path

from radishshift.manifests import read_endpoint
from radishshift.operators import check_catalogue, load_catalogue
from radishshift.settings import load_settings
from radishshift.validation import read_commented_json
from tests.cases import TestCase

EXAMPLES = Path(__file__).parent.parent / "examples"


class ExamplesTest(TestCase):
    def test_settings_are_valid(self):
        regions = {
            load_settings(str(EXAMPLES / name)).region
            for name in ("pamoja.jsonc", "anadolu.jsonc")
        }
        self.assertEqual({"tz-south", "marmara"}, regions)

    def test_catalogues_are_valid_and_list_all_that_their_endpoints_serve(self):
        for name in ("pamoja-catalogue.jsonc", "anadolu-catalogue.jsonc"):
            path = EXAMPLES / name
            specs = load_catalogue(str(path))
            check_catalogue(specs)
            values = read_commented_json(path.read_text(encoding="utf-8"), name)
            for endpoint, spec in values["endpoints"].items():
                served = read_endpoint(endpoint, spec).serves
                self.assertLessEqual(set(served), set(specs))
