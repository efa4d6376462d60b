"""Query tier that scatters a query over many shards and gathers one honest answer."""

__version__ = "0.1.0"
