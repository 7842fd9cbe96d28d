VENV := .venv
PYTHON := $(VENV)/bin/python
# A folder that was built on another kind of machine is built again.
STAMP := $(VENV)/.installed-$(shell uname -m)

.PHONY: demo test lint format check benchmark clean

$(STAMP): requirements/locked.txt pyproject.toml
	python3.11 -m venv --clear $(VENV)
	$(PYTHON) -m pip install --quiet --quiet --disable-pip-version-check -r requirements/locked.txt
	$(PYTHON) -m pip install --quiet --quiet --disable-pip-version-check --no-deps --no-build-isolation --editable .
	$(PYTHON) -m compileall -q -j 0 -o 0 -o 2 $(VENV)/lib
	touch $(STAMP)

demo: $(STAMP)
	$(VENV)/bin/primrosescale demo

# Routers run with -OO, as deployed; without its byte code each start compiles all
# modules, which takes more than a second.
test: $(STAMP)
	$(PYTHON) -m compileall -q -o 0 -o 2 src
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
