"""Decisions as pure code without I/O: time, randomness and messages are passed as arguments."""
