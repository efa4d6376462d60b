"""Command line `rattanrelay`: a registry of sub-commands and the entry point."""

from .main import EXIT_INPUT, EXIT_OK, EXIT_REFUSED, main
from .registry import command

__all__ = ["EXIT_INPUT", "EXIT_OK", "EXIT_REFUSED", "command", "main"]
