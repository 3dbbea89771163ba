#!/usr/bin/env python3
"""A request that crashes targets, sent by many callers through real entry hosts.

    tests/crashing_callers_test.py SAVORYSCALE
"""

import argparse
import asyncio
import os
import pathlib
import shutil
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "soak"))

from soak import KILLER_SENDS_AFTER_THIRD, PORTS, Run, execute_in_time  # noqa: E402


class KillerRun(Run):
    """A run of the soak without any other fault."""

    def draw_plan(self):
        return [(0.5, "killer")]


async def run_killer():
    options = argparse.Namespace(base_port=21000 + PORTS * (os.getpid() % 8), hosts=5, targets=12, callers=4, seconds=1,
                                 program=pathlib.Path(PROGRAM), other_program=None)
    run = KillerRun(1, options)
    await execute_in_time(run)
    shutil.rmtree(run.folder)
    return run


class CrashingCallers(unittest.TestCase):
    def test_a_request_of_many_callers_crashes_targets_of_each(self):
        run = asyncio.run(run_killer())
        crashes = sum(len(target.crashes) for target in run.targets)
        self.assertEqual(run.findings, [])
        self.assertGreaterEqual(crashes, 2)
        self.assertLessEqual(crashes, 3 + KILLER_SENDS_AFTER_THIRD)


if __name__ == "__main__":
    PROGRAM = sys.argv.pop(1)
    unittest.main()
