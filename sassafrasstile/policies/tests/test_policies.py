import random
import unittest

from sassafrasstile import plugins
from sassafrasstile import policies

_REQUEST = policies.WorkRequest(request_id="r1", tokens=100)


def _make_views(*free_slots):
    return [
        policies.EndpointView(name=f"e{index}", slots=10, free_slots=count)
        for index, count in enumerate(free_slots)
    ]


def _make_policy(name):
    return plugins.create(plugins.Kind.POLICY, name, generator=random.Random(5))


class PolicyContractTest(unittest.TestCase):
    """Runs over every registered policy."""

    def test_chooses_one_of_the_candidates(self):
        for name in plugins.list_names(plugins.Kind.POLICY):
            with self.subTest(name):
                policy = _make_policy(name)
                views = _make_views(0, 5, 10)
                for turn in range(50):
                    chosen = policy.choose(
                        views, request=_REQUEST, now=float(turn)
                    )
                    self.assertIn(chosen, views)

    def test_same_seed_gives_the_same_choices(self):
        for name in plugins.list_names(plugins.Kind.POLICY):
            with self.subTest(name):
                runs = []
                for _ in range(2):
                    policy = _make_policy(name)
                    views = _make_views(1, 2, 3, 4)
                    runs.append(
                        [
                            policy.choose(views, request=_REQUEST, now=0.0)
                            for _ in range(30)
                        ]
                    )
                self.assertEqual(runs[0], runs[1])

    def test_single_candidate_is_chosen(self):
        for name in plugins.list_names(plugins.Kind.POLICY):
            with self.subTest(name):
                views = _make_views(0)
                chosen = _make_policy(name).choose(
                    views, request=_REQUEST, now=0.0
                )
                self.assertEqual(chosen, views[0])

    def test_observing_an_unknown_endpoint_is_harmless(self):
        for name in plugins.list_names(plugins.Kind.POLICY):
            _make_policy(name).observe(
                endpoint="gone", succeeded=False, now=0.0
            )


class RoundRobinTest(unittest.TestCase):
    def test_candidates_are_chosen_in_rotation(self):
        policy = _make_policy("round_robin")
        views = _make_views(1, 1, 1)
        names = [
            policy.choose(views, request=_REQUEST, now=0.0).name
            for _ in range(6)
        ]
        self.assertEqual(names, ["e0", "e1", "e2"] * 2)


class LeastLoadedTest(unittest.TestCase):
    def test_least_loaded_candidate_is_chosen(self):
        views = _make_views(1, 9, 5)
        chosen = _make_policy("least_loaded").choose(
            views, request=_REQUEST, now=0.0
        )
        self.assertEqual(chosen.name, "e1")
