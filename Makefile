# Every target sets up what it needs, so `make demo` and `make test` work on
# a fresh machine with Python 3.11 or newer.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup demo test lint generate fuzz bench soak format

$(VENV)/.installed: pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -e '.[dev]'
	touch $@

setup: $(VENV)/.installed

demo: setup
	$(BIN)/python -m bench.demo

test: setup lint
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/python tools/generate.py --check
	$(BIN)/isort -q --check-only rowanport bench soak tools test examples
	$(BIN)/black -q --check rowanport bench soak tools test examples
	$(BIN)/flake8 rowanport bench soak tools test examples

format: setup
	$(BIN)/isort -q rowanport bench soak tools test examples
	$(BIN)/black -q rowanport bench soak tools test examples

generate: setup
	$(BIN)/python tools/generate.py

fuzz: setup
	$(BIN)/python -m tools.fuzz

bench: setup
	$(BIN)/python -m bench.bench $(BENCH_FLAGS)

# SOAK_FLAGS="--seed 100 --seeds 50", see docs/soak.md
soak: setup
	$(BIN)/python -m soak $(SOAK_FLAGS)
