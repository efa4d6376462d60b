"""`rattanrelay load`: runs an open-loop load against caller listeners."""

from functools import partial
from pathlib import Path

import trio

from ...errors import RelayError
from ...load import LoadPlan, render_json, render_table, run_load
from ...load.arrivals import parse_phases, parse_shares
from ...load.runner import Clients
from ..client import load_tls_context
from ..registry import command

__all__ = ["load"]


@command("load")
def load(
    targets: str,
    service: str,
    *,
    phases: str = "10x100",
    tenants: str = "tenant-1",
    seed: int = 1,
    timeout_ms: int = 1000,
    distinct: int = 50,
    json: str = "",
    ca_file: str = "",
) -> int | None:
    """Send queries on a schedule; report coverage, and latency from the intended send time.

    :param targets: caller listeners as host:port, separated by commas
    :param service: service to query
    :param phases: phases as SECONDSxRATE, with the rate in queries a second, separated by commas
    :param tenants: tenants as NAME=SHARE, separated by commas
    :param seed: seed of the schedule
    :param timeout_ms: timeout of each query in ms
    :param distinct: number of different query bodies
    :param json: file that the report is written to as JSON
    :param ca_file: PEM file with the certificates that sign those of the caller listeners; TLS is
        used if it is given
    """
    try:
        plan = LoadPlan(
            targets=tuple(targets.split(",")),
            service=service,
            phases=tuple(parse_phases(phases)),
            shares=parse_shares(tenants),
            seed=seed,
            timeout_ms=timeout_ms,
            distinct=distinct,
        )
    except ValueError as error:
        raise RelayError("bad_settings", str(error), step="read options") from error
    clients = Clients(load_tls_context(ca_file))
    summary = {"service": service, "phases_sent": phases, "seed": seed}
    summary |= trio.run(partial(run_load, plan, clients=clients)).summary()
    if json:
        Path(json).write_text(render_json(summary) + "\n", "utf-8")
    print(render_table(summary))
