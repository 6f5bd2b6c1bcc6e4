PYTHON ?= python3.11
BIN := .venv/bin
STAMP := .venv/.installed

.PHONY: run fleet test lint format generate bench

run: $(STAMP)
	$(BIN)/honeyport local

fleet: $(STAMP)
	cd examples/fleet/$(or $(USER_OF),inspection) && ../../../$(BIN)/honcho start

test: $(STAMP)
	$(BIN)/python -m features.run

lint: $(STAMP)
	$(BIN)/ruff format --check src features bench
	$(BIN)/ruff check src features bench
	$(BIN)/flake8 src features bench

format: $(STAMP)
	$(BIN)/ruff check --fix src features bench
	$(BIN)/ruff format src features bench

bench: $(STAMP)
	$(BIN)/python -m bench

generate: $(STAMP)
	$(BIN)/pip install -q -c constraints.txt grpcio-tools
	cd src && ../$(BIN)/python -m grpc_tools.protoc -I. --python_out=. \
	    --grpc_python_out=. honeyport/wire/honeyport.proto

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv .venv
	$(BIN)/pip install -q --disable-pip-version-check \
	    -c constraints.txt -e '.[dev]'
	touch $@
