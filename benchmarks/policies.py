"""Load on a fleet of real processes: latency, coverage, extra load and peaks by policy.

Each line compares policies under the same seed and schedule. Command:
python -m benchmarks.policies DEPLOYMENT SERVICE SCENARIO PHASES VARIANT [VARIANT ...]
PHASES are as in `rattanrelay load`. A variant is `plain` or cells of the service's row such as
`hedge=false,canary=false`. `tenants:NAME=SHARE,...` and `distinct:N` hold for what comes after.
"""

import json
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path

from benchmarks.measure import print_line
from tests.harness import Fleet, wait_until

ENTRIES = 6
BACKEND_PROCESSES = 4
SETTLE_S = 2.0
#: Load before the measurement, in which cold searchers become warm.
WARM_UP = "6x30"
SEED = 7

SCENARIOS: dict[str, Callable[[Fleet, str, float], None]] = {}


def scenario(name: str):
    """Register `(fleet, service, seconds) -> None`, run beside the load."""

    def register(function):
        SCENARIOS[name] = function
        return function

    return register


@scenario("quiet")
def quiet(fleet: Fleet, service: str, seconds: float) -> None:
    """No fault."""


@scenario("straggler")
def straggler(fleet: Fleet, service: str, seconds: float) -> None:
    """Two searchers take eight times as long."""
    for searcher in (f"{service}-01/0", f"{service}-02/1"):
        control = fleet.control_of(searcher)
        control.set_faults({"searchers": [searcher]}, straggle=8.0)


@scenario("slow-domain")
def slow_domain(fleet: Fleet, service: str, seconds: float) -> None:
    """All searchers of one failure domain take three times as long."""
    domain = next(iter(fleet.deployment.table.domains))
    for control in fleet.backends:
        control.set_faults({"domains": [domain]}, straggle=3.0)


@scenario("cold")
def cold(fleet: Fleet, service: str, seconds: float) -> None:
    """A third of the searchers turn cold without an announcement, twice."""
    domain = next(iter(fleet.deployment.table.domains))
    for _ in range(2):
        time.sleep(seconds / 3)
        for control in fleet.backends:
            control.post("searchers/cool", select={"domains": [domain]})


@scenario("domain-out-and-back")
def domain_out(fleet: Fleet, service: str, seconds: float) -> None:
    """Operators take a failure domain out and bring it back."""
    domain = list(fleet.deployment.table.domains)[1]
    entry = next(iter(fleet.entries.values()))
    for direction in ("out", "in"):
        time.sleep(seconds / 3)
        entry.admin_client.call("POST", f"/v1/domains/{domain}/{direction}")


@scenario("store-down")
def store_down(fleet: Fleet, service: str, seconds: float) -> None:
    """The store is down in the middle third."""
    time.sleep(seconds / 3)
    fleet.platform.set_store_faults(down="refuse")
    time.sleep(seconds / 3)
    fleet.platform.set_store_faults()


@scenario("instance-killed")
def instance_killed(fleet: Fleet, service: str, seconds: float) -> None:
    """One instance is killed; the load goes to the others only."""
    time.sleep(seconds / 3)
    list(fleet.entries.values())[-1].process.kill()


def _set_cells(fleet: Fleet, service: str, variant: str) -> None:
    entry = next(iter(fleet.entries.values()))
    for cell in variant.split(",") if variant != "plain" else ():
        column, _, text = cell.partition("=")
        path = f"/v1/table/services/{service}/{column}"
        reply = entry.admin_client.call("PUT", path, {"value": _value(text)})
        if reply.status >= 300:
            raise SystemExit(f"{cell}: {reply.status} {reply.body.decode()}")


def _value(text: str):
    try:
        return json.loads(text)
    except ValueError:
        return text


def _load(fleet: Fleet, service: str, phases: str, tenants: str, distinct: int) -> dict:
    targets = [entry.callers for entry in list(fleet.entries.values())[:-1]]
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "load.json"
        command = [sys.executable, "-m", "rattanrelay", "load", ",".join(targets), service]
        command += ["--phases", phases, "--tenants", tenants, "--seed", str(SEED)]
        command += ["--distinct", str(distinct), "--json", str(report)]
        subprocess.run(command, check=True, stdout=subprocess.DEVNULL)
        return json.loads(report.read_text("utf-8"))


def run(
    deployment: str, service: str, name: str, phases: str, tenants: str, variant: str, distinct: int
) -> None:
    """Run one scenario with one variant and print the result."""
    seconds = sum(float(part.partition("x")[0]) for part in phases.split(","))
    options = {"backend_processes": BACKEND_PROCESSES, "services": (service,)}
    with Fleet(deployment, entries=ENTRIES, **options) as fleet:
        fleet.start_entries()
        for one in fleet.entries:
            fleet.list_instance(one)
        _wait_dispatching(fleet)
        _set_cells(fleet, service, variant)
        time.sleep(SETTLE_S)
        _load(fleet, service, WARM_UP, "tenant-1", distinct)
        for control in fleet.backends:
            control.post("searchers/clear", select={})
        beside = threading.Thread(target=SCENARIOS[name], args=(fleet, service, seconds))
        beside.start()
        summary = _load(fleet, service, phases, tenants, distinct)
        beside.join()
        _report(fleet, service, name, phases, variant, summary)


def _wait_dispatching(fleet: Fleet) -> None:
    servers = set(fleet.deployment.table.servers)

    def owned() -> bool:
        held = set()
        for entry in fleet.entries.values():
            status = entry.admin_client.call("GET", "/v1/status").json()
            held |= {key for key, server in status["servers"].items() if server["dispatching"]}
        return held == servers

    wait_until(owned, "each server has an owner")


def _report(
    fleet: Fleet, service: str, name: str, phases: str, variant: str, summary: dict
) -> None:
    total = summary["total"]
    searchers = fleet.searchers()
    shards = len(fleet.deployment.shards(service))
    sent = sum(one["requests"] for one in searchers.values())
    needed = total["done"] * shards
    row = next(iter(fleet.deployment.table.servers.values()))
    print_line(
        scenario=name,
        variant=variant,
        phases=phases,
        requests=total["requests"],
        done=total["done"],
        **total["latency_ms"],
        coverage=total["coverage"],
        complete=total["complete"],
        codes=total["codes"],
        missing=total["missing"],
        extra_percent=round((sent / needed - 1) * 100, 2) if needed else None,
        peak_work=max(one["peak_work"] for one in searchers.values()),
        slots=row.slots,
        peak_connections=max(one["peak_connections"] for one in searchers.values()),
        connections=row.connections,
        violations=len(fleet.violations()),
        phase_done=[part["done"] for part in summary["phases"].values()],
        phase_p99=[part["latency_ms"]["p99"] for part in summary["phases"].values()],
        tenant_done={key: part["done"] for key, part in summary["tenants"].items()},
    )


def main(arguments: list[str]) -> None:
    """Run the scenario of the command line with each variant."""
    if len(arguments) < 5:
        raise SystemExit(__doc__)
    deployment, service, name, phases, *variants = arguments
    tenants = "tenant-1"
    distinct = 50
    for variant in variants:
        if variant.startswith("tenants:"):
            tenants = variant.removeprefix("tenants:")
        elif variant.startswith("distinct:"):
            distinct = int(variant.removeprefix("distinct:"))
        else:
            run(deployment, service, name, phases, tenants, variant, distinct)


if __name__ == "__main__":
    main(sys.argv[1:])
