"""`python -m tests.soak --seeds 100-149`: runs seeds and prints the violations of each."""

import time
from collections import Counter
from pathlib import Path

import defopt

from .run import run_seed


def soak(*, seeds: str = "", seconds: float = 15.0, instances: int = 4, keep: str = "") -> int:
    """Run the seeds one after the other.

    :param seeds: first and last seed; by default one from the current time
    :param seconds: length of the time with faults, for each seed
    :param instances: entry instances
    :param keep: directory for the logs of the instances of seeds with violations
    """
    first, _, last = (seeds or str(time.time_ns() % 10**9)).partition("-")
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        found, run = run_seed(seed, seconds, instances)
        statuses = Counter(one.response.status if one.response else 0 for one in run.sent)
        print(f"seed {seed}: {len(found)} broken, {dict(statuses)}", flush=True)
        for line in found[:10]:
            print(f"  {line}", flush=True)
        if found:
            failed += 1
            print(f"  faults: {'; '.join(run.log)}", flush=True)
            if keep:
                Path(keep).mkdir(parents=True, exist_ok=True)
                Path(keep, f"{seed}.log").write_bytes(b"".join(run.logs))
    print(f"{failed} seeds broke a promise")
    return int(failed > 0)


if __name__ == "__main__":
    raise SystemExit(defopt.run(soak))
