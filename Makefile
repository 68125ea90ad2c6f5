VENV ?= .venv
PYTHON ?= python3.11
RUN = $(VENV)/bin/python
STAMP = $(VENV)/.installed-$(shell cksum requirements.lock | cut -d' ' -f1)

.PHONY: run serve test quick lint format bench soak histories generate

$(STAMP): requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(RUN) -m pip install --quiet --requirement requirements.lock
	$(RUN) -m pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

run: $(STAMP)  ## Start a small fleet, send a sample query, stop everything
	$(RUN) -m demo.run

serve: $(STAMP)  ## Run the small fleet until interrupted
	$(RUN) -m demo.run --serve

test: $(STAMP)  ## Run all tests
	$(RUN) -m pytest
	$(RUN) -m behave --format progress --no-capture tests/features

quick: $(STAMP)  ## Run the tests that start no router processes
	$(RUN) -m pytest --ignore=tests/platform

lint: $(STAMP)
	$(RUN) -m black --check --quiet fighinge standins tests benchmarks demo
	$(RUN) -m ruff check fighinge standins tests benchmarks demo

format: $(STAMP)
	$(RUN) -m black --quiet fighinge standins tests benchmarks demo
	$(RUN) -m ruff check --fix fighinge standins tests benchmarks demo

bench: $(STAMP)  ## Measure every scenario and write docs/MEASUREMENTS.md
	$(RUN) -m benchmarks --all
	-$(RUN) -m benchmarks.capacity >/dev/null

SEED ?= 1
MINUTES ?= 5
soak: $(STAMP)  ## Inject random faults into router processes and check the guarantees
	$(RUN) -m tests.platform.soak --seed $(SEED) --minutes $(MINUTES)

histories: $(STAMP)  ## Check many more random histories than the tests do
	$(RUN) -m tests.soak --seed $(SEED)

generate: $(STAMP)  ## Regenerate the committed protobuf code
	$(RUN) -m grpc_tools.protoc --proto_path=. --python_out=. fighinge/wire/frames.proto
