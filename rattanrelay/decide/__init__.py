"""Pure decisions: time, randomness and messages are arguments; nothing here does I/O."""
