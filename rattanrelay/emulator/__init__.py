"""Stand-ins for the outside systems: backend servers, store, instance list, balancer, proxy."""
