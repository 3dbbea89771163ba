#!/usr/bin/env python3
"""The checks of a soak run that concern organisations, without a network.

    tests/soak_terms_test.py
"""

import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "soak"))

from terms import most_requests  # noqa: E402


class SoakTerms(unittest.TestCase):
    def test_a_second_send_of_a_request_is_not_another_request_of_its_organisation(self):
        sends = [(at / 100, f"flood{at}") for at in range(64)] + [(1 + at / 100, f"flood{at}") for at in range(15)]
        self.assertEqual(most_requests(sends, 2), 64)

    def test_each_request_of_any_window_counts(self):
        sends = [(1.9 + at / 100, f"flood{at}") for at in range(77)]
        self.assertEqual(most_requests(sends, 2), 77)
        self.assertEqual(most_requests([(0, "flood1"), (1.9, "flood2"), (2, "flood3")], 2), 2)
        self.assertEqual(most_requests([(0, "flood1"), (5, "flood1")], 2), 1)
        self.assertEqual(most_requests([], 2), 0)


if __name__ == "__main__":
    unittest.main()
