"""Query tier that scatters a query over many shards and gathers their results."""

__version__ = "0.1.0"
