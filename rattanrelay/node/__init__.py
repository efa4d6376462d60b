"""Tasks of the daemon process; each task owns its sockets and its state."""
