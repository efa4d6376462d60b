"""Randomized soak: real instances, faults from outside, and checks of what callers see."""
