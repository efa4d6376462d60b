"""Tasks of a daemon: each owns its sockets and its state."""
