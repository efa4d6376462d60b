"""One module for each first word of a command; heavy imports belong inside the functions."""

__all__: list[str] = []
