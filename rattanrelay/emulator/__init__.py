"""Emulators of the outside systems: backend servers, store, instance list, balancer, proxy."""
