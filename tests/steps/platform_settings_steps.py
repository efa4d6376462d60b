"""Steps for the settings file that the platform writes."""

import contextlib
import io
import tempfile
import tomllib
from pathlib import Path

import tomli_w
from behave import then, when

from rattanrelay.cli import main
from rattanrelay.decide.intake import MB, Lane
from rattanrelay.errors import RelayError
from rattanrelay.platform.settings import load

SETTINGS = """
node_name = "edge-1"
zone = "oviedo"
internal_ports = [7380, 7395]
future = { key = 1 }
[listen_addrs]
front = "10.1.0.9:8104"
ready = "10.1.0.9:8108"
[bounds]
drain_ms = 3000
[limits]
cpu_share = 0.5
cpu_cores = 3
[platform]
address = "10.9.0.1:2379"
"""


def write(folder, key, value):
    """Write a file in which one key has another value, given as TOML; return its path."""
    settings = tomllib.loads(SETTINGS)
    *tables, name = key.split(".")
    table = settings
    for part in tables:
        table = table[part]
    table[name] = tomllib.loads(f"value = {value}")["value"]
    path = Path(folder) / "node.toml"
    path.write_text(tomli_w.dumps(settings), "utf-8")
    return path


@when("the platform's settings are read with {key} = {value}")
def read(context, key, value):
    context.settings = context.error = None
    with tempfile.TemporaryDirectory() as folder:
        try:
            context.settings = load(write(folder, key, value))
        except RelayError as error:
            context.error = error


@then("a leaving searcher still serves for {seconds:g} s")
def drain_time(context, seconds):
    assert context.error is None, context.error
    assert context.settings.bounds.drain == seconds, context.settings.bounds


@then("the instance has {cores:g} cores")
def processor(context, cores):
    assert context.error is None, context.error
    assert round(context.settings.cores, 2) == cores, context.settings.cores


@then("messages of clients may take {messages:d} MB, and there may be {clients:d} clients")
def intake_limits(context, messages, clients):
    assert context.error is None, context.error
    limits = context.settings.intake
    assert (limits.messages // MB, limits.connections[Lane.CLIENTS]) == (messages, clients), limits


@when("the platform's settings are checked on the command line with {key} = {value}")
def check(context, key, value):
    printed, failed = io.TextIOWrapper(io.BytesIO(), "utf-8", write_through=True), io.StringIO()
    with tempfile.TemporaryDirectory() as folder:
        path = write(folder, key, value)
        with contextlib.redirect_stdout(printed), contextlib.redirect_stderr(failed):
            context.status = main(["check", "--platform", str(path)])
    context.printed, context.error_output = printed.buffer.getvalue().decode(), failed.getvalue()


@then('the command prints that the settings of instance "{name}" are correct')
def correct(context, name):
    assert context.status == 0, context.error_output
    assert f"settings of instance {name} are correct" in context.printed, context.printed


@then('the command fails and names "{words}"')
def fails(context, words):
    assert context.status != 0, context.printed
    assert words in context.error_output, context.error_output
