# Two commands matter: `make demo` and `make test`. Each makes its own virtual environment.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test lint soak soak-processes clean

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

# Seed after seed of faults on the deployed role: make soak MINUTES=30 SEED=1000
soak: $(STAMP)
	cd tests && ../$(BIN)/python -m soak --minutes $(or $(MINUTES),1) --seed $(or $(SEED),1)

# The same on processes of their own, behind proxies: make soak-processes MINUTES=30 SEED=1000
soak-processes: $(STAMP)
	cd tests && ../$(BIN)/python -m soak.processes \
		--minutes $(or $(MINUTES),1) --seed $(or $(SEED),1) --nodes $(or $(NODES),0)

clean:
	rm -rf $(VENV)
