"""Translation between the users' platform and the relay; names of the platform appear only here."""
