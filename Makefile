VENV := .venv
# Most tests wait for processes; a class stays together, as its tests may share some.
TEST_JOBS := 4
PYTHON := $(VENV)/bin/python
PACKET_TESTS := $(wildcard packages/*/tests/test_packet*.py) platform/tests
PACKAGES := -e packages/zinniahook-core -e packages/zinniahook-wire -e packages/zinniahook-store -e packages/zinniahook-caller -e packages/zinniahook-daemon -e packages/zinniahook-cli -e packages/zinniahook-testkit -e platform

SEED := 1
MINUTES := 1

.PHONY: soak demo test compiled lint format bench stubs install clean

install: $(VENV)/installed

$(VENV)/installed: requirements.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements.txt $(PACKAGES)
	touch $@

demo: install
	$(PYTHON) -m zinniahook_testkit.demo

# The packet service's tests run twice: on the source, and on the core as it is
# deployed.
test: install compiled
	PYTHONPATH=target/core/src $(PYTHON) -m pytest -q -n $(TEST_JOBS) --dist loadscope $(PACKET_TESTS)
	$(PYTHON) -m pytest -n $(TEST_JOBS) --dist loadscope

compiled:
	sh deploy/build.sh

lint: install
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	cd packages/zinniahook-core/src && $(CURDIR)/$(VENV)/bin/mypy --strict --follow-imports=silent zinniahook_core/packets zinniahook_core/rendezvous.py

format: install
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

bench: install
	$(PYTHON) -m zinniahook_testkit.bench $(NAME)

# Real processes, faults by a seed; see docs/soak.md.
soak: install
	$(PYTHON) platform/tests/soaks.py --seed $(SEED) --minutes $(MINUTES)

stubs:
	packages/zinniahook-wire/stubs.sh

clean:
	rm -rf $(VENV)
