PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo demo-platform test lint format setup generate

setup: $(VENV)/.ready

$(VENV)/.ready: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[test,dev]'
	touch $@

demo: setup
	$(BIN)/sassafrasstile demo

demo-platform: setup
	$(BIN)/python -m sassafrasstile.faultsoak --seconds 8 --no-faults

test: setup
	$(BIN)/python -m nose2 --config nose2.cfg

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

generate: setup
	tools/generate.sh
