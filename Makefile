PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
LIBS := $(sort $(wildcard libs/*))
STAMP := $(VENV)/.installed

.PHONY: env lint format test demo bench bench-quick capacity matrix mutants fuzz clean

env: $(STAMP)

$(STAMP): requirements.txt $(LIBS:%=%/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.txt
	$(BIN)/pip install -q --no-build-isolation --no-deps $(LIBS:%=-e %)
	touch $@

lint: env
	$(BIN)/black --check -q libs features platform
	$(BIN)/flake8 libs features platform

format: env
	$(BIN)/black -q libs features platform

test: export PYTHONHASHSEED = 0
test: env
	$(BIN)/python features/run.py

demo: env
	$(BIN)/python -m bergamotsail.bench.demo

clean:
	rm -rf $(VENV) build

matrix: env
	$(BIN)/python -m features.matrix $(FLAGS)

mutants: env
	$(BIN)/python -m features.mutants

fuzz: env
	$(BIN)/python -m features.fuzz $(FLAGS)

bench: env
	$(BIN)/python -m bergamotsail.bench.experiment $(FLAGS)

bench-quick: env
	$(BIN)/python -m bergamotsail.bench.experiment --quick

capacity: env
	$(BIN)/python -m bergamotsail.bench.capacity
