#!/usr/bin/env python3
"""The settings of an entry host, as a platform fills them from deploy/settings.template.json for the plainest deployment.

A filler that takes no absent value fails where the template names a field that the deployment lacks; the filled text must
be accepted by `savoryscale check`.

    tests/settings_template_test.py SAVORYSCALE
"""

import json
import pathlib
import re
import subprocess
import sys
import tempfile

TEMPLATE = pathlib.Path(__file__).resolve().parent.parent / "deploy" / "settings.template.json"

# What each deployment has: no limits, no bounds beside the drain time and the grace.
PLAINEST = {"node": "front-a-1", "zone": "zone-a", "region": "region-1", "ip": "127.0.0.11", "bootstrap": False,
            "listen": {"front": "127.0.0.11:8161", "ready": "127.0.0.11:8167", "control": "127.0.0.11:8166"},
            "internal_ports": [7720, 7721], "seeds": ["127.0.0.11:8166"],
            "platform": {"address": "127.0.0.2:8169"}, "bounds": {"drain_s": 2, "grace_s": 6}}


def look_up(fields, path):
    """The value at a dotted path. Raises KeyError or IndexError when there is none."""
    found = fields
    for part in path.split("."):
        found = found[int(part)] if isinstance(found, list) else found[part]
    return found


def fill(text, fields, entry):
    def section(match):
        kind, path, inner = match.groups()
        value = look_up(fields, path)
        if kind == "^":
            return "" if value else fill(inner, fields, entry)
        entries = value if isinstance(value, list) else [value] if value else []
        last = len(entries) - 1
        return "".join(fill(inner.replace("{{,}}", "" if at == last else ","), fields, each)
                       for at, each in enumerate(entries))

    def placeholder(match):
        path, as_json = match.groups()
        value = entry if path == "." else look_up(fields, path)
        return json.dumps(value) if as_json else str(value)

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", placeholder, text)


def main():
    program = sys.argv[1]
    failed = 0
    for seeds in (PLAINEST["seeds"], []):
        for bootstrap in (False, True):
            fields = {**PLAINEST, "seeds": seeds, "bootstrap": bootstrap}
            try:
                text = fill(TEMPLATE.read_text(), fields, fields)
            except (KeyError, IndexError) as absent:
                print(f"FAILED: the template names {absent}, which the deployment lacks")
                failed += 1
                continue
            with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
                file.write(text)
                file.flush()
                ended = subprocess.run([program, "check", file.name], capture_output=True, text=True, check=False)
            if ended.returncode != 0:
                print(f"FAILED: check refuses the settings: {ended.stderr.strip()}")
                failed += 1
    print(f"{4 - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
