PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

# The users' bench and the sites that each change is measured on. The large site
# has taken the place of the oldest one.
KIT := ../given/kit/more/system
BENCH := $(KIT)/more/bench-d17393/bin/fleetbench
SITES := $(KIT)/sites/kvrd-dossier.toml \
	$(KIT)/grown/fv-ruter-grown.toml \
	$(KIT)/grown/kvrd-dossier-grown.toml \
	$(KIT)/further/bd-torino.toml \
	$(KIT)/further-grown/bd-torino-grown.toml \
	$(KIT)/large/fv-ruter-large.toml \
	$(KIT)/shifted/fv-ruter-now-grown.toml \
	$(KIT)/demands/amman-fitness-grown.toml \
	$(KIT)/demands/kuusiranta-palkka-grown.toml
WHY ?= Regression

.PHONY: demo demo-platform test lint format setup generate regression

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

# Needs the users' kit; CI doesn't run it.
regression:
	$(BENCH) score $(SITES) --quick --why "$(WHY)"
