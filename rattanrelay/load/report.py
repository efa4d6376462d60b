"""Reports of load runs as JSON and as a text table."""

import msgspec

from .recorder import PERCENTILES

__all__ = ["render_json", "render_table"]

_HEADER = (
    "group",
    "sent",
    "done",
    *(f"p{value:g} ms" for value in PERCENTILES),
    "cover %",
    "full %",
)


def render_json(summary: dict) -> str:
    """Return a summary as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(summary), indent=2).decode()


def render_table(summary: dict) -> str:
    """Return a summary as an aligned table, one line for each group, and counts of failures."""
    rows = [_HEADER, _row("total", summary["total"])]
    rows += [_row(f"phase {name}", stats) for name, stats in summary["phases"].items()]
    rows += [_row(f"tenant {name}", stats) for name, stats in summary["tenants"].items()]
    widths = [max(len(row[column]) for row in rows) for column in range(len(_HEADER))]
    lines = [
        "  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    ]
    counts = [f"refused {name}: {count}" for name, count in summary["total"]["codes"].items()]
    counts += [f"missing {name}: {count}" for name, count in summary["total"]["missing"].items()]
    return "\n".join(lines + counts)


def _row(name: str, stats: dict) -> tuple[str, ...]:
    latency = [f"{stats['latency_ms'][f'p{value:g}']:.1f}" for value in PERCENTILES]
    shares = [_percent(stats["coverage"]), _percent(stats["complete"])]
    return (name, str(stats["requests"]), str(stats["done"]), *latency, *shares)


def _percent(share: float | None) -> str:
    return "-" if share is None else f"{share * 100:.3f}"
