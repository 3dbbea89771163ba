#!/usr/bin/env python3
"""A SIGHUP to a host that is still starting must not end it, and must not be lost.

The settings are a named pipe, so that the host waits in the middle of its start until they are written.

    tests/reload_at_start_test.py SAVORYSCALE
"""

import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time
import unittest

from settings_template_test import PLAINEST, TEMPLATE, fill

LONGEST_S = 20


def own_address():
    """An address of this process alone, so that test runs can overlap."""
    number = os.getpid()
    return f"127.{1 + (number >> 16) % 250}.{(number >> 8) % 256}.{number % 256}"


class ReloadAtStart(unittest.TestCase):
    def test_a_host_that_is_reloaded_while_it_reads_its_settings_starts_and_reads_them_again(self):
        fields = {**PLAINEST, "ip": own_address(), "seeds": [],
                  "listen": {name: f"{own_address()}:{7741 + at}" for at, name in enumerate(PLAINEST["listen"])}}
        text = fill(TEMPLATE.read_text(), fields, fields)
        with tempfile.TemporaryDirectory() as folder:
            pipe = pathlib.Path(folder, "settings.json")
            os.mkfifo(pipe)
            host = subprocess.Popen([PROGRAM, "serve", f"--settings={pipe}"], stdout=subprocess.DEVNULL,
                                    stderr=subprocess.DEVNULL)
            self.addCleanup(host.wait)
            self.addCleanup(host.kill)
            with open(pipe, "w", encoding="utf-8") as settings:  # returns when the host has opened it
                time.sleep(0.1)
                host.send_signal(signal.SIGHUP)
                time.sleep(0.1)
                self.assertIsNone(host.poll(), "the signal has ended the host")
                settings.write(text)
            read_again = threading.Thread(target=pipe.write_text, args=(text,), daemon=True)
            read_again.start()
            read_again.join(LONGEST_S)
            self.assertFalse(read_again.is_alive(), "the settings are not read again")
            self.assertIsNone(host.poll())


if __name__ == "__main__":
    PROGRAM = sys.argv.pop(1)
    unittest.main()
