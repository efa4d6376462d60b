"""Settings of the behave run, and the scenarios that KNOWN-RED.txt lists."""

import os
import re
from pathlib import Path

from hypothesis import settings

settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.load_profile("ci")

KNOWN_RED = Path(__file__).resolve().parents[1] / "KNOWN-RED.txt"
#: Set to 1 to run the listed scenarios as well.
RUN_RED = "RATTANRELAY_RUN_KNOWN_RED"
ENTRY = re.compile(r'^(?P<file>tests/\S+\.feature):\d+ "(?P<name>[^"]+)"$', re.MULTILINE)


def before_all(context):
    """Read which scenarios fail because of a fault that is known and open."""
    text = KNOWN_RED.read_text("utf-8") if KNOWN_RED.exists() else ""
    context.known_red = {(entry["file"], entry["name"]) for entry in ENTRY.finditer(text)}
    context.passed_over = []


def before_scenario(context, scenario):
    """Pass over exactly the listed scenarios; an example counts by the name of its outline."""
    name = scenario.name.partition(" -- @")[0]
    listed = (scenario.location.filename, name) in context.known_red
    if listed and os.environ.get(RUN_RED) != "1":
        context.passed_over.append(f"{scenario.location}: {scenario.name}")
        scenario.skip("listed in KNOWN-RED.txt")


def after_all(context):
    """Print what was passed over."""
    for line in context.passed_over:
        print(f"KNOWN RED, not run: {line}")
