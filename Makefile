# README names two targets: demo and test. Each makes its own virtual environment.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := gooseberryyoke gooseberryyoke-daemon gooseberryyoke-client
MANIFESTS := constraints.txt $(PACKAGES:%=packages/%/pyproject.toml) platform/pyproject.toml

.PHONY: demo test lint format bench bench-capacity proof soak clean

$(VENV)/installed: $(MANIFESTS)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt setuptools
	$(BIN)/pip install --quiet --constraint constraints.txt \
		$(PACKAGES:%=--editable packages/%) --editable platform \
		hypothesis matplotlib numpy pytest pytest-xdist ruff syrupy
	touch $@

test: $(VENV)/installed
	$(BIN)/pytest -n 6

demo: $(VENV)/installed
	$(BIN)/python -m examples.demo

bench: $(VENV)/installed
	$(BIN)/python -m tools.bench.memory
	$(BIN)/python -m tools.bench.policy
	$(BIN)/python -m tools.bench.expert
	$(BIN)/python -m tools.bench.following_demand
	$(BIN)/python -m tools.bench.placing
	$(BIN)/python -m tools.bench.backoff
	$(BIN)/python -m tools.bench.concurrency
	$(BIN)/python -m tools.bench.queueing
	$(BIN)/python -m tools.bench.durable
	$(BIN)/python -m tools.bench.quarantine
	$(BIN)/python -m tools.bench.departures

bench-capacity: $(VENV)/installed
	$(BIN)/python -m tools.bench.capacity_state
	$(BIN)/python -m tools.bench.capacity_processes
	$(BIN)/python -m tools.bench.capacity_requests

lint: $(VENV)/installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(VENV)/installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

proof: $(VENV)/installed
	$(BIN)/python -m tools.proof

soak: $(VENV)/installed
	$(BIN)/python -m tools.soak --seeds 50
	$(BIN)/python -m tools.soak --evacuations --seeds 20 --seconds 25
	$(BIN)/python -m tools.soak --crashes --seeds 20 --seconds 15
	$(BIN)/python -m tools.soak --departures --seeds 20 --seconds 30
	$(BIN)/python -m tools.soak --retries --seeds 20 --seconds 30
	$(BIN)/python -m tools.soak --replacements --seeds 20 --seconds 30

clean:
	rm -rf $(VENV) out
