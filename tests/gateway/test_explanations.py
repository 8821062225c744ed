"""Tests of the explanation of where a request would go."""

from radishshift.gateway.deployment import RouteKind
from radishshift.gateway.explanations import Explainer, Question
from radishshift.gateway.host_settings import GatewaySettings
from tests.cases import VirtualTestCase
from tests.gateway.worlds import HOST, KEY, MODEL_COSTS, Script, World, route

STREAM = route(RouteKind.STREAM, models=("small", "large"))
QUESTION = Question(HOST, "/advice/x", KEY, prompt_tokens=8000, parts=[("p", 6000)])


class ExplanationsTest(VirtualTestCase):
    def _world(self):
        world = World(
            [STREAM],
            {name: [Script(events=(b"id: 1\ndata: x\n\n",))] for name in "abc"},
            data_centres={"c": "iringa"},
        )
        settings = GatewaySettings("edge-1", "", "mbeya", "", "", "", "e:1", "", "")
        explainer = Explainer(
            "edge-1",
            world.clock,
            world.path,
            world.dispatcher,
            world.gossip(settings),
        )
        return world, explainer

    def _left_out(self, explanation):
        return {each.endpoint: each.left_out for each in explanation.endpoints}

    async def test_the_explained_choice_is_the_one_that_is_made(self):
        world, explainer = self._world()
        for load in ({"a": 9}, {"b": 9}, {"a": 30, "b": 30}):
            for name in "abc":
                view = world.placer.view(world.member(name))
                view.others_load = float(load.get(name, 0))
            explanation = explainer.explain(QUESTION)
            request = world.request(key=KEY, prompt_tokens=8000)
            job = world.path._create_job(request)
            member = await world.dispatcher.placement.place(job, "small")
            self.assertEqual(member.name, explanation.endpoint)
            self.assertEqual(("advice", "ring"), (job.service, explanation.customer))
            best = explanation.endpoints[0]
            self.assertEqual(explanation.endpoint, best.endpoint)
            total_s = (best.own_s - best.saved_s + best.load_s) * best.slowness
            total_s += best.copy_s + best.remote_s + best.failures_s
            self.assertAlmostEqual(best.total_s, total_s, 2)

    async def test_nothing_is_sent_counted_or_remembered(self):
        world, explainer = self._world()
        placer = world.placer
        for _ in range(5):
            explainer.explain(QUESTION)
        self.assertEqual([], world.endpoints.attempts)
        self.assertEqual(0, sum(view.load for view in placer.views()))
        self.assertEqual({}, placer.prefixes._memories)
        self.assertEqual(0, len(world.versions._sessions))

    async def test_each_endpoint_that_is_left_out_has_a_reason(self):
        world, explainer = self._world()
        world.evacuate("iringa")
        world.list_members("abc", leaving="a")
        explanation = explainer.explain(QUESTION)
        expected = {"a": "leaving or gone", "b": "", "c": "evacuated"}
        self.assertEqual(expected, self._left_out(explanation))
        self.assertEqual("b", explanation.endpoint)

    async def test_the_last_resort_is_explained_as_it_is_used(self):
        """An endpoint that has just left was used, but explained as a rejection."""
        world, explainer = self._world()
        world.list_members([])
        explanation = explainer.explain(QUESTION)
        job = world.path._create_job(world.request(key=KEY))
        member = await world.dispatcher.placement.place(job, "small")
        self.assertEqual(member.name, explanation.endpoint)

    async def test_a_rejection_is_explained(self):
        world, explainer = self._world()
        cases = {
            "not-found": Question(HOST, "/nowhere/", KEY),
            "authentication": Question(HOST, "/advice/x", "wrong"),
        }
        for question in cases.values():
            explanation = explainer.explain(question)
            self.assertEqual("", explanation.endpoint)
            self.assertTrue(explanation.error and explanation.reason)
        world.evacuate("mbeya", "iringa")
        explanation = explainer.explain(QUESTION)
        self.assertEqual("no-endpoint", explanation.error)
        self.assertEqual({"evacuated"}, set(self._left_out(explanation).values()))

    async def test_the_model_that_is_tried_first_is_named(self):
        _, explainer = self._world()
        self.assertEqual(min(MODEL_COSTS, key=MODEL_COSTS.get), "small")
        self.assertEqual("small", explainer.explain(QUESTION).model)
