"""Tests of decoding the store's objects and the settings file."""

from dataclasses import replace

import logbook
from users_platform.object_decoder import PlatformObjectDecoder
from users_platform.settings import read_settings
from users_platform.standins import server_entry

from radishshift.caller_limits import CallerLimits
from radishshift.decisions.routes import RouteTable
from radishshift.endpoints import EndpointState
from radishshift.errors import SettingsError, UnreadableObjectError
from radishshift.gateway.deployment import RolloutState, RouteKind
from radishshift.objects import Kind, StoredObject
from tests.cases import TestCase
from tests.users_platform.served import CONFIG, KEY

DECODER = PlatformObjectDecoder()
BLANK_KEYS_LINE = "customer {!r} holds {} blank keys; nobody may use them"
SETTINGS = """
nodeName = "edge-mbeya-1"
ip = "10.1.0.40"
zone = "mbeya"
portRange = [7340, 7355]
seedNodes = ["10.1.0.40:8229"]
unknown = 1
[listen]
frontend = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
controlPlane = "10.1.0.40:8229"
[bounds]
drainMs = 3000
graceS = 9
[platform]
address = "10.200.1.7:8223"
"""


def _member(**changes):
    spec = server_entry("desk", "10.0.0.1:80", born=1000) | changes
    return DECODER.member(StoredObject(Kind.ENDPOINT, "i-1", spec))


class ObjectDecoderTest(TestCase):
    def test_a_configuration_is_decoded(self):
        item = StoredObject(Kind.DEPLOYMENT, "main", CONFIG)
        deployment = DECODER.deployment(item)
        look, book, plan = deployment.routes
        self.assertEqual(7, deployment.version)
        self.assertEqual("ring", deployment.customers[KEY].name)
        self.assertEqual(
            [RouteKind.IDEMPOTENT, RouteKind.AT_MOST_ONCE, RouteKind.STREAM],
            [look.kind, book.kind, plan.kind],
        )
        self.assertEqual(
            [True, False, True], [r.idempotent for r in (look, book, plan)]
        )
        self.assertEqual((5.0, 1.0), (look.timeout_s, look.objective_s))
        self.assertEqual(("small", "large"), plan.models)
        self.assertEqual({"small": 0.01}, deployment.services["advice"].model_costs)

    def test_keys_are_required_where_customers_are_stated_at_all(self):
        """Customers without keys looked like a configuration without customers."""
        spec = dict(CONFIG)
        del spec["tenants"]
        cases = {
            "absent": (spec, False),
            "none": (spec | {"tenants": []}, True),
            "null": (spec | {"tenants": None}, True),
            "no keys": (spec | {"tenants": [{"name": "ring", "apiKeys": []}]}, True),
        }
        for name, (values, required) in cases.items():
            with self.subTest(name):
                item = StoredObject(Kind.DEPLOYMENT, "main", values)
                deployment = DECODER.deployment(item)
                self.assertEqual(required, deployment.keys_required)
                self.assertEqual({}, deployment.customers)

    def test_blank_keys_are_no_keys_and_the_operator_is_told(self):
        """An empty key in a configuration let every request without a key run."""
        tenants = [
            {"name": "ring", "apiKeys": ["", " \t", "\u00a0", KEY]},
            {"name": "mill", "apiKeys": [""]},
        ]
        item = StoredObject(Kind.DEPLOYMENT, "main", CONFIG | {"tenants": tenants})
        with logbook.TestHandler() as logged:
            deployment = PlatformObjectDecoder().deployment(item)
        self.assertEqual({KEY}, set(deployment.customers))
        self.assertTrue(deployment.keys_required)
        self.assertTrue(logged.has_warning(BLANK_KEYS_LINE.format("ring", 3)))
        self.assertTrue(logged.has_warning(BLANK_KEYS_LINE.format("mill", 1)))
        self.assertFalse(any(KEY in record.message for record in logged.records))

    def test_a_service_without_weight_is_no_share_of_a_route(self):
        """The last of a route's services took all requests if none had a weight."""
        desk, advice = ({"service": name, "weight": 0} for name in ("desk", "advice"))
        cases = (
            ([desk, advice], ()),
            ([desk | {"weight": -1}, advice | {"weight": 1}], ("advice",)),
            ([desk | {"weight": 2}, advice], ("desk",)),
            ([], ("desk",)),
        )
        for split, expected in cases:
            changed = CONFIG["routes"][0] | {"split": split}
            item = StoredObject(Kind.DEPLOYMENT, "main", CONFIG | {"routes": [changed]})
            (route,) = PlatformObjectDecoder().deployment(item).routes
            with self.subTest(split):
                services = tuple(share.service for share in route.shares)
                self.assertEqual(expected, services)

    def test_a_list_without_regions_allows_none(self):
        """It read like no list, so requests ran in all regions."""
        cases = {"absent": ({}, None), "null": ({"allowedRegions": None}, ())}
        for regions in ([], ["south"]):
            cases[str(regions)] = ({"allowedRegions": regions}, tuple(regions))
        for name, (changes, expected) in cases.items():
            spec = CONFIG | {
                "routes": [CONFIG["routes"][0] | changes],
                "tenants": [CONFIG["tenants"][0] | changes],
            }
            with self.subTest(name):
                item = StoredObject(Kind.DEPLOYMENT, "main", spec)
                deployment = PlatformObjectDecoder().deployment(item)
                self.assertEqual(expected, deployment.routes[0].regions)
                self.assertEqual(expected, deployment.customers[KEY].regions)

    def test_limits_on_callers_are_decoded_and_unreadable_ones_are_the_defaults(self):
        """What a configuration states as limits bound nothing."""
        stated = {
            "maxHeaderBytes": 20_000,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 2500,
            "idleTimeoutMs": 30_000,
        }
        cases = {
            "stated": (stated, CallerLimits(20_000, 4_194_304, 2.5, 30.0)),
            "in part": (
                {"maxBodyBytes": 9e6},
                replace(CallerLimits(), body_bytes=9_000_000),
            ),
            "absent": (None, CallerLimits()),
            "zero": (stated | {"maxBodyBytes": 0}, CallerLimits()),
            "text": (stated | {"idleTimeoutMs": "long"}, CallerLimits()),
            "no table": (7, CallerLimits()),
        }
        for name, (limits, expected) in cases.items():
            item = StoredObject(Kind.DEPLOYMENT, "main", CONFIG | {"limits": limits})
            self.assertEqual(expected, DECODER.deployment(item).limits, name)

    def test_a_route_that_changes_is_decoded_again_and_the_others_are_not(self):
        decoder = PlatformObjectDecoder()
        look, book, plan = CONFIG["routes"]
        before = decoder.deployment(StoredObject(Kind.DEPLOYMENT, "main", CONFIG))
        changed = CONFIG | {"routes": [plan, dict(book, timeoutMs=9000), dict(look)]}
        after = decoder.deployment(StoredObject(Kind.DEPLOYMENT, "main", changed))
        self.assertIs(before.routes[0], after.routes[2])
        self.assertIs(before.routes[2], after.routes[0])
        self.assertEqual(9.0, after.routes[1].timeout_s)
        fresh = PlatformObjectDecoder()
        self.assertEqual(
            fresh.deployment(StoredObject(Kind.DEPLOYMENT, "main", changed)), after
        )

    def test_a_malformed_route_is_not_taken_for_one_that_compares_as_equal(self):
        """A host that had decoded `true` accepted 1 in its place, another did not."""
        decoder = PlatformObjectDecoder()
        public = CONFIG | {"routes": [dict(CONFIG["routes"][0], public=True)]}
        decoder.deployment(StoredObject(Kind.DEPLOYMENT, "main", public))
        malformed = CONFIG | {"routes": [dict(CONFIG["routes"][0], public=1)]}
        item = StoredObject(Kind.DEPLOYMENT, "main", malformed)
        (route,) = decoder.deployment(item).routes
        self.assertEqual(((), False), (route.shares, route.public))
        self.assertEqual(PlatformObjectDecoder().deployment(item).routes, (route,))

    def test_malformed_entries_of_a_configuration_cost_themselves_alone(self):
        """An older version stayed in force on all hosts for one entry of the next."""
        decoder = PlatformObjectDecoder()
        item = StoredObject(Kind.DEPLOYMENT, "main", CONFIG)
        whole = decoder.deployment(item)
        odd = (None, "look", {}, {"name": "look"}, {"name": ["look"]}, [[]], 10**400)
        for entry in odd:
            for field in ("routes", "services", "tenants"):
                changed = CONFIG | {field: [entry, *CONFIG[field], entry]}
                item = StoredObject(Kind.DEPLOYMENT, "main", changed)
                self.assertEqual(whole.routes, decoder.deployment(item).routes)
                self.assertEqual(whole.customers, decoder.deployment(item).customers)
                self.assertLessEqual(
                    whole.services.items(), decoder.deployment(item).services.items()
                )
        for values in ({"version": "8"}, {"routes": None}, {"services": 7}):
            item = StoredObject(Kind.DEPLOYMENT, "main", CONFIG | values)
            self.assertRaises(UnreadableObjectError, decoder.deployment, item)

    def test_a_malformed_route_refuses_its_requests_itself(self):
        """A route with a shorter prefix would send them to another service."""
        look = dict(CONFIG["routes"][0], pathPrefix="/look/more/", type="odd")
        item = StoredObject(
            Kind.DEPLOYMENT, "main", CONFIG | {"routes": [*CONFIG["routes"], look]}
        )
        table = RouteTable(PlatformObjectDecoder().deployment(item).routes)
        self.assertEqual((), table.find(look["host"], "/look/more/1").shares)
        self.assertNotEqual((), table.find(look["host"], "/look/1").shares)

    def test_an_endpoint_is_decoded(self):
        member = _member(state="draining", born=77)
        self.assertEqual(EndpointState.LEAVING, member.state)
        self.assertEqual(("i-1", 77), member.incarnation)

    def test_malformed_endpoint_objects_are_unreadable(self):
        for changes in (
            {"slots": "six"},
            {"state": "odd"},
            {"address": "somewhere:80"},
            {"address": None},
            {"seqNo": "x"},
            {"service": ""},
            {"version": ""},
            {"born": 1.5},
        ):
            self.assertRaises(UnreadableObjectError, _member, **changes)
        empty = StoredObject(Kind.ENDPOINT, "i-1", {})
        self.assertRaises(UnreadableObjectError, DECODER.member, empty)

    def test_a_roll_out_and_its_status_are_decoded_and_encoded(self):
        order = {"service": "advice", "target": "v2", "durationS": 12}
        for state_name, state in (
            ("in_progress", RolloutState.RUNNING),
            ("completed", RolloutState.COMPLETED),
            ("rolled_back", RolloutState.ROLLED_BACK),
        ):
            status = {"state": state_name, "target": "v2"}
            item = StoredObject(Kind.ROLLOUT, "advice", order, status, 4)
            rollout = DECODER.rollout(item)
            self.assertEqual(state, rollout.state)
            self.assertEqual(status, DECODER.rollout_status(rollout, state))

    def test_an_order_without_a_version_or_service_is_unreadable(self):
        """An empty version reads as any, so the order would restrict nothing."""
        order = {"service": "advice", "target": "v2", "durationS": 12}
        for changes in ({"target": ""}, {"service": ""}, {"target": None}):
            item = StoredObject(Kind.ROLLOUT, "advice", order | changes, {}, 4)
            self.assertRaises(UnreadableObjectError, DECODER.rollout, item)

    def test_the_status_of_an_earlier_order_is_ignored(self):
        order = {"service": "advice", "target": "v3", "durationS": 12}
        status = {"state": "completed", "target": "v2"}
        item = StoredObject(Kind.ROLLOUT, "advice", order, status, 4)
        self.assertEqual(RolloutState.ORDERED, DECODER.rollout(item).state)

    def test_an_order_holds_while_its_status_cannot_be_read(self):
        order = {"service": "advice", "target": "v3", "durationS": 12}
        for status in ({"state": "odd"}, {"state": None, "target": "v3"}, {"x": 1}):
            item = StoredObject(Kind.ROLLOUT, "advice", order, status, 4)
            self.assertEqual(RolloutState.ORDERED, DECODER.rollout(item).state)


class SettingsTest(TestCase):
    def test_settings_are_decoded_and_unknown_fields_ignored(self):
        settings = read_settings(SETTINGS)
        self.assertEqual("edge-mbeya-1", settings.host)
        self.assertEqual("10.1.0.40:8229", settings.peer_address)
        self.assertEqual((3.0, 9.0), (settings.bounds.drain_s, settings.bounds.stop_s))

    def test_missing_fields_and_malformed_files_are_rejected(self):
        for text in (
            SETTINGS.replace("nodeName", "x"),
            "a = ",
            SETTINGS + "x = 1\nx = 2",
        ):
            self.assertRaises(SettingsError, read_settings, text)
