"""`python -m tests`: run all features in several concurrent behave processes."""

import os
import re
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from queue import SimpleQueue
from typing import NamedTuple

from rattanrelay.emulator.addresses import FIRST_FREE_PORT, LAST_FREE_PORT, PORTS_VARIABLE

TESTS = Path(__file__).resolve().parent
ROOT = TESTS.parent
SYSTEM = TESTS / "system"
#: Features that take several minutes in all, and run beside the other unit features.
RELAY = TESTS / "relay"

#: Number of system features, each with its own fleets, that run concurrently.
SYSTEM_WORKERS = 3
#: Features with this tag measure load or latency and run while nothing else does.
ALONE = re.compile(r"^@alone$", re.MULTILINE)
#: Scenarios and rows of examples; a feature with more of them takes longer.
SIZE = re.compile(r"^ *(?:Scenario|\|)", re.MULTILINE)
SCENARIOS = re.compile(r"^(\d+ scenarios? passed.*)$", re.MULTILINE)
#: The list of failed scenarios at the end of behave's output.
FAILED = re.compile(r"^(?:Failing|Errored) scenarios:\n((?: .+\n)+)", re.MULTILINE)
#: A failed step and what follows it up to the next step or scenario.
REASON = re.compile(
    r"^ +\w[^\n]* \.\.\. (?:failed|error)\b.*?(?=^ +(?:Given|When|Then|And|But|Scenario)|\Z)",
    re.MULTILINE | re.DOTALL,
)
#: Number of characters that are printed of the end of each reason.
REASON_CHARACTERS = 1500
COUNT = re.compile(r"(\d+) (?:scenarios? )?(passed|failed|error|skipped)")


class Finished(NamedTuple):
    """A behave process that has ended; `seconds` is its wall time."""

    name: str
    status: int
    output: str
    seconds: float
    #: All steps with the tracebacks of those that failed, empty if none did.
    steps: str = ""

    def counts(self) -> Counter[str]:
        """Return the number of scenarios by result; a missing summary counts as one error."""
        summary = SCENARIOS.search(self.output)
        if summary is None:
            return Counter(error=1)
        return Counter({result: int(number) for number, result in COUNT.findall(summary[1])})

    def failures(self) -> list[str]:
        """Return the failed scenarios and the reasons."""
        failed = [
            line.strip() for names in FAILED.findall(self.output) for line in names.splitlines()
        ]
        if not failed and (self.status or self.counts()["error"]):
            failed = [f"{self.name}: exit status {self.status}"]
        return [
            *(reason.strip()[-REASON_CHARACTERS:] for reason in REASON.findall(self.steps)),
            *failed,
        ]


def port_ranges(count: int) -> list[str]:
    """Return `count` disjoint port ranges, so that concurrent fleets never share a port."""
    size = (LAST_FREE_PORT - FIRST_FREE_PORT) // count
    starts = range(FIRST_FREE_PORT, FIRST_FREE_PORT + size * count, size)
    return [f"{start}-{start + size}" for start in starts]


def run(name: str, paths: list[str], ports: str) -> Finished:
    """Run behave on features or directories with its own range of ports."""
    start = time.monotonic()
    with tempfile.NamedTemporaryFile("r", encoding="utf-8", suffix=".txt") as steps:
        # The progress format shows no tracebacks, so all steps go to a file beside it.
        formats = ["--format", "plain", "--outfile", steps.name, "--format", "progress"]
        ended = subprocess.run(
            [sys.executable, "-m", "behave", *formats, *paths],
            cwd=ROOT,
            env={**os.environ, PORTS_VARIABLE: ports},
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        text = steps.read() if ended.returncode else ""
    return Finished(name, ended.returncode, ended.stdout, time.monotonic() - start, text)


def run_all() -> Iterator[Finished]:
    """Run unit and system features concurrently, then the features that must run alone."""
    units: dict[str, list[str]] = {"unit features": [], "relay features": []}
    for path in sorted(TESTS.rglob("*.feature")):
        if not path.is_relative_to(SYSTEM):
            name = "relay features" if path.is_relative_to(RELAY) else "unit features"
            units[name].append(str(path.relative_to(ROOT)))
    system = sorted(SYSTEM.glob("*.feature"))
    alone = [path for path in system if ALONE.search(path.read_text("utf-8"))]
    shared = [path for path in system if path not in alone]
    # Longest first, so that no worker runs a long feature alone at the end.
    shared.sort(key=lambda path: len(SIZE.findall(path.read_text("utf-8"))), reverse=True)
    ranges = port_ranges(len(units) + SYSTEM_WORKERS)
    free = SimpleQueue()
    for ports in ranges[len(units) :]:
        free.put(ports)

    def run_system(path: Path) -> Finished:
        ports = free.get()
        try:
            return run(path.name, [str(path.relative_to(ROOT))], ports)
        finally:
            free.put(ports)

    with (
        ThreadPoolExecutor(len(units)) as unit_pool,
        ThreadPoolExecutor(SYSTEM_WORKERS) as system_pool,
    ):
        unit_runs = unit_pool.map(run, units, units.values(), ranges)
        yield from system_pool.map(run_system, shared)
        yield from unit_runs
    yield from map(run_system, alone)


def main() -> int:
    """Print the output of each process and the total of scenarios; return the exit status."""
    total = Counter()
    status = 0
    failures = []
    for finished in run_all():
        print(f"== {finished.name}: {finished.seconds:.0f} s\n{finished.output}", flush=True)
        total.update(finished.counts())
        status = status or finished.status
        failures += finished.failures()
    # A CI may keep only the end of the output.
    for line in failures:
        print(f"FAILED {line}")
    failed = total["failed"] + total["error"]
    print(f"{total['passed']} scenarios passed, {failed} failed, {total['skipped']} skipped")
    return 1 if failed else status


if __name__ == "__main__":
    sys.exit(main())
