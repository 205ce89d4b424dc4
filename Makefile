# Entry points for a fresh machine: `make demo` and `make test`.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SOURCES := packages platform tests bench

export PYTHONPATH := tests

.PHONY: setup demo test test-units test-processes test-features check format \
    speed compare failures soak

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

# Most tests wait more than they compute, so they run beside each other.
test: $(STAMP)
	$(MAKE) --no-print-directory --jobs=2 --keep-going --output-sync=target \
	    test-processes test-units test-features

test-units: $(STAMP)
	$(BIN)/python -m pytest tests/unit --numprocesses 3 --dist worksteal

test-processes: $(STAMP)
	$(BIN)/python -m pytest tests/processes

test-features: $(STAMP)
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
