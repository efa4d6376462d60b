VENV := .venv
PYTHON := $(VENV)/bin/python

.PHONY: demo test lint format clean

$(VENV)/installed: pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --editable '.[dev]'
	touch $@

demo: $(VENV)/installed
	$(VENV)/bin/rattanrelay demo

lint: $(VENV)/installed
	$(VENV)/bin/black --check --quiet rattanrelay tests benchmarks
	$(VENV)/bin/ruff check --quiet rattanrelay tests benchmarks

format: $(VENV)/installed
	$(VENV)/bin/black --quiet rattanrelay tests benchmarks
	$(VENV)/bin/ruff check --quiet --fix rattanrelay tests benchmarks

test: lint
	$(PYTHON) -m tests

clean:
	rm -rf $(VENV) build *.egg-info
