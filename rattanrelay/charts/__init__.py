"""State charts as YAML files, and the interpreter that runs them."""
