# Entry points for a fresh machine: `make demo` and `make test`.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SOURCES := packages platform tests bench

export PYTHONPATH := tests

.PHONY: setup demo test check format speed compare failures soak

setup: $(STAMP)

$(STAMP): constraints.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt -r requirements-dev.txt \
	    -e packages/lycheedyke -e packages/lycheedyke-daemon -e packages/lycheedyke-ctl
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m bench.demo

speed: $(STAMP)
	$(BIN)/python -m bench.speed

compare: $(STAMP)
	$(BIN)/python -m bench.compare

failures: $(STAMP)
	$(BIN)/python -m bench.failures --customer pantsaker
	$(BIN)/python -m bench.failures --customer cascade

soak: $(STAMP)
	$(BIN)/python -m bench.soak

test: $(STAMP)
	$(BIN)/python -m pytest
	$(BIN)/behave --format progress

check: $(STAMP)
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)
	$(BIN)/mypy packages/lycheedyke/src packages/lycheedyke-daemon/src packages/lycheedyke-ctl/src platform tests bench
	$(BIN)/lint-imports

format: $(STAMP)
	$(BIN)/ruff check --fix $(SOURCES)
	$(BIN)/ruff format $(SOURCES)
