#!/usr/bin/env python3
"""The hosts of a soak run: however faults overlap, each host has one process, and none is left behind.

    tests/soak_hosts_test.py
"""

import argparse
import asyncio
import pathlib
import shutil
import sys
import tempfile
import unittest
from unittest import mock

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "soak"))

from soak import Run  # noqa: E402


async def kill_while_it_starts(program):
    """Kills a host while it starts after another kill. Returns the processes that still run, and the host's."""
    run = Run(1, argparse.Namespace(base_port=0, hosts=1, targets=0, program=program))
    run.began = run.now()
    started, starting = [], asyncio.Event()
    create = asyncio.create_subprocess_exec

    async def create_slowly(*arguments, **options):
        starting.set()
        await asyncio.sleep(0.1)
        started.append(await create(*arguments, **options))
        return started[-1]

    with mock.patch("asyncio.create_subprocess_exec", create_slowly):
        await run.hosts[0].start()
        starting.clear()
        kill = asyncio.create_task(run.inject_kill())
        await starting.wait()
        await run.inject_kill()
        await kill
    running = [each for each in started if each.returncode is None]
    for each in running:
        each.kill()
        await each.wait()
    shutil.rmtree(run.folder)
    return running, run.hosts[0].process


class SoakHosts(unittest.TestCase):
    def test_a_host_that_is_killed_while_it_starts_has_one_process(self):
        with tempfile.TemporaryDirectory() as folder:
            program = pathlib.Path(folder) / "host"
            program.write_text("#!/bin/sh\nexec sleep 60\n")
            program.chmod(0o755)
            running, its_own = asyncio.run(kill_while_it_starts(program))
        self.assertEqual(running, [its_own])


if __name__ == "__main__":
    unittest.main()
