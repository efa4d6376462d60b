"""Measurements of processor time, memory and bytes; each module prints JSON lines."""
