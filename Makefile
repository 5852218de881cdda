VENV ?= .venv
PY = $(VENV)/bin/python

.PHONY: run test lint format bench capacity binary proofs soak clean

$(VENV)/.ready: requirements.txt requirements-dev.txt pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install -q -r requirements-dev.txt
	$(VENV)/bin/pip install -q --no-deps --no-build-isolation -e .
	touch $@

run: $(VENV)/.ready
	$(PY) -m chervilshift dev

# Test files run in parallel. The proofs start processes of their own, so use
# fewer workers than cores.
TEST_WORKERS ?= 4
# Tests of faults that are not fixed yet; they are skipped and printed.
KNOWN_RED = $(shell sed -n 's/^test: /--deselect=/p' KNOWN-RED.txt)

test: $(VENV)/.ready
	$(PY) -m pytest tests -n $(TEST_WORKERS) --dist loadfile $(KNOWN_RED) \
	    $(PYTEST_ARGS)
	@echo "known red:" && cat KNOWN-RED.txt

proofs: $(VENV)/.ready
	$(PY) -m pytest tests/proofs tests/core

# Random faults on real processes, for SEEDS seeds starting with FIRST.
SEEDS ?= 50
FIRST ?= 1
soak: $(VENV)/.ready
	$(PY) -m tests.soak --seeds $(SEEDS) --first $(FIRST)

lint: $(VENV)/.ready
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: $(VENV)/.ready
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

bench: $(VENV)/.ready
	$(PY) -m bench.table

capacity: $(VENV)/.ready
	$(PY) -m bench.slopes

binary: $(VENV)/.ready
	mkdir -p dist
	$(VENV)/bin/shiv -q -c chervilshift -o dist/chervilshift -r requirements.txt .

clean:
	rm -rf $(VENV) dist build *.egg-info
