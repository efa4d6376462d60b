"""Reports of load runs as JSON and as a table for people."""

import msgspec

from .recorder import PERCENTILES

__all__ = ["render_json", "render_table"]

_HEAD = ("group", "sent", "done", *(f"p{value:g} ms" for value in PERCENTILES), "cover %", "full %")


def render_json(summary: dict) -> str:
    """Return a summary as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(summary), indent=2).decode()


def render_table(summary: dict) -> str:
    """Return a summary as aligned text, one line for each group."""
    rows = [_HEAD, _row("total", summary["total"])]
    rows += [_row(f"phase {name}", part) for name, part in summary["phases"].items()]
    rows += [_row(f"tenant {name}", part) for name, part in summary["tenants"].items()]
    widths = [max(len(row[column]) for row in rows) for column in range(len(_HEAD))]
    lines = [
        "  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    ]
    notes = [f"refused {name}: {count}" for name, count in summary["total"]["codes"].items()]
    notes += [f"missing {name}: {count}" for name, count in summary["total"]["missing"].items()]
    return "\n".join(lines + notes)


def _row(name: str, part: dict) -> tuple[str, ...]:
    latency = [f"{part['latency_ms'][f'p{value:g}']:.1f}" for value in PERCENTILES]
    shares = [_percent(part["coverage"]), _percent(part["complete"])]
    return (name, str(part["requests"]), str(part["done"]), *latency, *shares)


def _percent(share: float | None) -> str:
    return "-" if share is None else f"{share * 100:.3f}"
