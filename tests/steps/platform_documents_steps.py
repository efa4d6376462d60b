"""Steps for documents of the platform's store that another writer may have written."""

import msgspec
from behave import then, when
from readers_steps import _known_after, _readers_after_settling, _write_changes

from rattanrelay.platform.documents import catalog, searcher_record
from tests.harness.relay_world import run_on_mock_clock

ENTRY = {
    "service": "svc",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "concurrency": 2,
    "state": "ready",
    "warmup_left_ms": 0,
    "sequence": 1,
    "born": 1_700_000_000_000,
}
DEPTH = 100_000
NESTED = b"[" * DEPTH + b"]" * DEPTH


def entry(**changes) -> bytes:
    """Return an entry with changed fields; those that are None are left out."""
    fields = {**ENTRY, **changes}
    return msgspec.json.encode({key: value for key, value in fields.items() if value is not None})


def _big(field: str, exponent: int) -> bytes:
    """Return an entry with a number of `exponent` zeros."""
    return entry(**{field: 987654321}).replace(b"987654321", b"1" + b"0" * exponent)


#: Odd entries by what is odd, each as a key and a value.
ODD = {
    "a list nested 100,000 deep": ("i-1", NESTED),
    "an unknown field nested 100,000 deep": ("i-1", entry()[:-1] + b',"x":' + NESTED + b"}"),
    "port 70000": ("i-1", entry(address="10.0.0.1:70000")),
    "port 0": ("i-1", entry(address="10.0.0.1:0")),
    "a port of 5,000 digits": ("i-1", entry(address="10.0.0.1:" + "9" * 5000)),
    "a port in other digits": ("i-1", entry(address="10.0.0.1:\u0663")),
    "a port that is a superscript": ("i-1", entry(address="10.0.0.1:\u00b2")),
    "an address with a space": ("i-1", entry(address="no host:80")),
    "an address with an empty label": ("i-1", entry(address="a..b:80")),
    "an address without a port": ("i-1", entry(address="10.0.0.1")),
    "a scope with a null character": ("i-1", entry(address="::1%\0:80")),
    "a scope with an empty label": ("i-1", entry(address="::1%a..b:80")),
    "a scope of 300 letters": ("i-1", entry(address=f"::1%{'a' * 300}:80")),
    "a scope with a line separator": ("i-1", entry(address="::1%\u2028:80")),
    "a scope that is not ASCII": ("i-1", entry(address="::1%\u00e9:80")),
    "an empty scope": ("i-1", entry(address="::1%:80")),
    "a concurrency of 10^30": ("i-1", _big("concurrency", 30)),
    "a concurrency of 0": ("i-1", entry(concurrency=0)),
    "a warmup of 10^300 ms": ("i-1", _big("warmup_left_ms", 300)),
    "a warmup below 0": ("i-1", entry(warmup_left_ms=-5)),
    "a start of 10^30": ("i-1", _big("born", 30)),
    "a start below 0": ("i-1", entry(born=-1)),
    "an empty service": ("i-1", entry(service="")),
    "a service that is a number": ("i-1", entry(service=3)),
    "an unknown state": ("i-1", entry(state="odd")),
    "a key with a line break": ("i-1\r\nx: y", entry()),
    "a key that is not ASCII": ("i-\u0663", entry()),
    "an empty key": ("", entry()),
    "bytes that are no text": ("i-1", b"\xff\xfe\x00"),
    "no state": ("i-1", entry(state=None)),
    "no zone": ("i-1", entry(zone=None)),
    "an empty zone": ("i-1", entry(zone="")),
    "a zone that is a number": ("i-1", entry(zone=3)),
    "no concurrency": ("i-1", entry(concurrency=None)),
    "no warmup": ("i-1", entry(warmup_left_ms=None)),
    "no version": ("i-1", entry(version=None)),
    "a version that is a number": ("i-1", entry(version=1)),
    "no sequence": ("i-1", entry(sequence=None)),
    "a sequence that is text": ("i-1", entry(sequence="1")),
}


@then("an entry of a searcher with {what} is unreadable")
def unreadable(context, what):
    key, value = ODD[what]
    assert searcher_record(f"servers/{key}", value) is None


@then("entries with IPv4, IPv6 and host name addresses are read")
def readable(context):
    for host in ("10.0.0.1", "fd00::1", "fe80::1%eth0.1", "node-1.rack-2.example"):
        record = searcher_record("servers/i-1", entry(address=f"{host}:80"))
        assert (record.host, record.port) == (host, 80)


@then("a configuration nested 100,000 deep raises a ValueError")
def deep_configuration(context):
    try:
        catalog(b'{"version":1,"routes":[],"x":' + NESTED + b"}")
    except ValueError:
        return
    raise AssertionError("accepted")


@when("odd entries appear among the searchers, and then the configuration and a searcher change")
def odd_entries(context):
    async def scenario():
        async with context.world.open() as world:
            await _readers_after_settling(world)
            for number, (key, value) in enumerate(ODD.values()):
                world.store.write(f"servers/{number}{key}", value)
            # A scope that no interface has; only the attempt to connect shows that.
            world.store.write("servers/scoped", entry(address="::1%none0:80"))
            # Requests are sent to all searchers that are taken for usable.
            for at in list(world.daemons):
                await world.ask("one", at=at)
            await _write_changes(world)
            context.known_after = await _known_after(world)

    run_on_mock_clock(scenario)
