"""`python -m tests`: run all features in several concurrent behave processes."""

import os
import re
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from queue import SimpleQueue
from typing import NamedTuple

from rattanrelay.emulator.addresses import FIRST_FREE_PORT, LAST_FREE_PORT, PORTS_VARIABLE

TESTS = Path(__file__).resolve().parent
ROOT = TESTS.parent
SYSTEM = TESTS / "system"
RELAY = TESTS / "relay"

#: Number of system features, each with its own fleets, that run concurrently.
SYSTEM_WORKERS = 3
#: Number of features of the relay that run concurrently; they take minutes, mostly of waiting.
RELAY_WORKERS = 2
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


def _relative(path: Path) -> str:
    return str(path.relative_to(ROOT))


def _longest_first(paths: list[Path]) -> list[Path]:
    """Sort features, so that no worker runs a long one alone at the end."""
    return sorted(paths, key=lambda path: len(SIZE.findall(path.read_text("utf-8"))), reverse=True)


def _with_ports(ranges: list[str]) -> Callable[[Path], Finished]:
    """Return a function that runs a feature with a range of ports that no other one uses then."""
    free = SimpleQueue()
    for ports in ranges:
        free.put(ports)

    def run_one(path: Path) -> Finished:
        ports = free.get()
        try:
            return run(path.name, [_relative(path)], ports)
        finally:
            free.put(ports)

    return run_one


def run_all() -> Iterator[Finished]:
    """Run all features concurrently, and then those that must run alone.

    Features of the system and of the relay have processes of their own, the others share one.
    """
    paths = sorted(TESTS.rglob("*.feature"))
    system = [path for path in paths if path.is_relative_to(SYSTEM)]
    relay = [path for path in paths if path.is_relative_to(RELAY)]
    units = [_relative(path) for path in paths if path not in system and path not in relay]
    alone = [path for path in system if ALONE.search(path.read_text("utf-8"))]
    shared = [path for path in system if path not in alone]
    ranges = port_ranges(1 + RELAY_WORKERS + SYSTEM_WORKERS)
    run_relay = _with_ports(ranges[1 : 1 + RELAY_WORKERS])
    run_system = _with_ports(ranges[1 + RELAY_WORKERS :])
    with (
        ThreadPoolExecutor(1) as unit_pool,
        ThreadPoolExecutor(RELAY_WORKERS) as relay_pool,
        ThreadPoolExecutor(SYSTEM_WORKERS) as system_pool,
    ):
        unit_run = unit_pool.submit(run, "unit features", units, ranges[0])
        relay_runs = relay_pool.map(run_relay, _longest_first(relay))
        yield from system_pool.map(run_system, _longest_first(shared))
        yield from relay_runs
        yield unit_run.result()
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
