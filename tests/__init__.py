"""Features, their steps and the process harness."""
