# Two commands matter: `make demo` and `make test`. Each makes its own virtual environment.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test lint clean

$(STAMP): requirements.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements.txt
	$(BIN)/python -m pip install --quiet --no-deps --editable .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/bramblebeam lab demo

lint: $(STAMP)
	$(BIN)/ruff format --check src tests spec
	$(BIN)/ruff check src tests spec
	$(BIN)/mypy
	$(BIN)/lint-imports --no-cache

test: lint
	$(BIN)/python -m pytest --numprocesses 4

clean:
	rm -rf $(VENV)
