PYTHON ?= python3
BIN := .venv/bin
PACKAGES := records wire policy control emulator daemon relay ctl
STAMP := .venv/.installed

.PHONY: setup test lint format protocol demo fleet proof proof-red bench capacity score
.PHONY: ablation soak

setup: $(STAMP)

$(STAMP): requirements.lock platform/pyproject.toml $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet -r requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation \
		$(foreach package,$(PACKAGES),-e packages/daisygauge-$(package)) -e platform
	touch $@

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

# Runs all unit and property tests, and the scenarios that machine load can't disturb.
test: setup
	$(BIN)/behave --no-capture --format=progress3 --tags=@ci testing/proof/features
	$(BIN)/python -m pytest

# Regenerates the committed protocol code from the .proto files.
protocol: setup
	cd packages/daisygauge-wire/src && PATH="$(CURDIR)/$(BIN):$$PATH" python -m grpc_tools.protoc \
		-I. --python_out=. --grpclib_python_out=. daisygauge_wire/*.proto

# Runs both kinds of flow on loopback with injected failures and checks every outcome.
demo: setup
	$(BIN)/python -m daisygauge_emulator.demo
	$(BIN)/python -m pytest -q testing/adapter/test_process.py

# Runs a fleet until Ctrl-C; FLEET_FILE is the path for a file that describes it.
fleet: setup
	$(BIN)/python -m daisygauge_emulator.fleet

# Runs all scenarios of docs/PROMISES.md against real processes.
proof: setup
	$(BIN)/behave --no-capture --format=progress3 testing/proof/features

# Compares the policies with baselines and writes results and plots to bench/.
bench: setup
	$(BIN)/daisygaugectl bench policies

# Checks that removing a mechanism makes a scenario fail.
proof-red: setup
	$(BIN)/python testing/proof/mutations.py

# Measures how the cost of control traffic grows with the fleet and compares it with
# targets.
capacity: setup
	$(BIN)/python bench/capacity/run.py

# Scores the sites of deploy/sites.json and compares the result with the scores recorded
# there; KIT is the directory of the users' site files and bench.
score: setup
	$(BIN)/python platform/scores/run.py --kit=$(KIT) --jobs=$(or $(JOBS),2) \
		--bench=$(firstword $(wildcard $(KIT)/more/*/bin/fleetbench) $(KIT)/bin/fleetbench)

# Plays days of the users' sites with one mechanism switched off at a time; KIT is the
# directory of the site files and bench, DAYS lists other days as SITE_FILE:DAY,... .
ablation: setup
	$(BIN)/python platform/scores/ablation.py --kit=$(KIT) --jobs=$(or $(JOBS),2) \
		--bench=$(firstword $(wildcard $(KIT)/more/*/bin/fleetbench) $(KIT)/bin/fleetbench) \
		$(if $(DAYS),--days=$(DAYS)) $(if $(ONLY),--only="$(ONLY)") $(if $(OUT),--out=$(OUT))

# Runs SEEDS seeds of the fault soak from FIRST on, then the seeds that failed before.
soak: setup
	cd testing && ../$(BIN)/python -m soak --first=$(or $(FIRST),1) --seeds=$(or $(SEEDS),50)
	cd testing && ../$(BIN)/python -m soak --regressions
