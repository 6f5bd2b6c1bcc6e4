PYTHON ?= python3.11
BIN := .venv/bin
STAMP := .venv/.installed

.PHONY: run fleet test lint format generate bench soak played

run: $(STAMP)
	$(BIN)/honeyport local

fleet: $(STAMP)
	cd examples/fleet/$(or $(USER_OF),inspection) && ../../../$(BIN)/honcho start

test: $(STAMP)
	$(BIN)/python -m features.run

lint: $(STAMP)
	$(BIN)/ruff format --check src features bench soak
	$(BIN)/ruff check src features bench soak
	$(BIN)/flake8 src features bench soak

format: $(STAMP)
	$(BIN)/ruff check --fix src features bench soak
	$(BIN)/ruff format src features bench soak

bench: $(STAMP)
	$(BIN)/python -m bench

played: $(STAMP)
	$(BIN)/python -m bench.played

soak: $(STAMP)
	$(BIN)/python -m soak many --first=$(or $(SEED),1) \
	    --count=$(or $(SEEDS),10) --jobs=$(or $(JOBS),3)

generate: $(STAMP)
	$(BIN)/pip install -q -c constraints.txt grpcio-tools
	cd src && ../$(BIN)/python -m grpc_tools.protoc -I. --python_out=. \
	    --grpc_python_out=. honeyport/wire/honeyport.proto

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv .venv
	$(BIN)/pip install -q --disable-pip-version-check \
	    -c constraints.txt -e '.[dev]'
	touch $@
