VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: demo test lint format check benchmark clean

$(STAMP): requirements/locked.txt pyproject.toml
	python3.11 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --quiet --disable-pip-version-check -r requirements/locked.txt
	$(PYTHON) -m pip install --quiet --quiet --disable-pip-version-check --no-deps --no-build-isolation --editable .
	$(PYTHON) -m compileall -q src
	touch $(STAMP)

demo: $(STAMP)
	$(VENV)/bin/primrosescale demo

test: $(STAMP)
	$(PYTHON) tests/run.py

lint: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy

format: $(STAMP)
	$(VENV)/bin/ruff check --fix .
	$(VENV)/bin/ruff format .

check: lint test

benchmark: $(STAMP)
	$(PYTHON) benchmarks/run.py

clean:
	rm -rf $(VENV) build src/*.egg-info
