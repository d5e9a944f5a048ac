# `make demo` and `make test` set themselves up on a fresh machine.
VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin

.PHONY: demo test lint format

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m demo

test: $(VENV)/.installed
	$(BIN)/python -m tests.run

lint: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(VENV)/.installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .
