import collections
import unittest

from sassafrasstile import gateway

_NAMES = [f"decode-{number}" for number in range(400)]


class SubsetTest(unittest.TestCase):
    def test_every_endpoint_is_in_equally_many_subsets(self):
        uses = collections.Counter(
            name
            for index in range(360)
            for name in gateway.choose_subset(_NAMES, index=index, size=40)
        )
        self.assertEqual(set(uses), set(_NAMES))
        self.assertEqual(set(uses.values()), {36})

    def test_same_gateway_gets_the_same_subset_in_any_order_of_names(self):
        self.assertEqual(
            gateway.choose_subset(_NAMES, index=17, size=40),
            gateway.choose_subset(_NAMES[::-1], index=17, size=40),
        )

    def test_rounds_differ(self):
        subsets = {
            gateway.choose_subset(_NAMES, index=index, size=40)
            for index in range(360)
        }
        self.assertEqual(len(subsets), 360)

    def test_few_endpoints_are_all_linked(self):
        self.assertEqual(
            gateway.choose_subset(_NAMES[:9], index=5, size=40),
            tuple(sorted(_NAMES[:9])),
        )
