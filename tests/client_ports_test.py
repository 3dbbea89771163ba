#!/usr/bin/env python3
"""The ports of a run of tests/clients: the host gets none that the store or a target is to listen on.

    tests/client_ports_test.py
"""

import pathlib
import sys
import unittest
from unittest import mock

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent / "clients"))

import clients  # noqa: E402


class ClientPorts(unittest.TestCase):
    def test_a_port_that_was_drawn_is_not_drawn_again(self):
        with mock.patch("random.SystemRandom") as pick:
            pick.return_value.randrange.side_effect = [12001, 12002, 12001, 12003]
            first = clients.free_ports(2)
            self.assertEqual(set(first) & set(clients.free_ports(1)), set())


if __name__ == "__main__":
    unittest.main()
