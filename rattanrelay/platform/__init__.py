"""Translation between the users' platform and the relay; names of the platform end here."""
