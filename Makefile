VENV := .venv
# Most tests wait for processes; a class stays together, as its tests may share some.
TEST_JOBS := 4
PYTHON := $(VENV)/bin/python
PACKAGES := -e packages/zinniahook-core -e packages/zinniahook-wire -e packages/zinniahook-store -e packages/zinniahook-caller -e packages/zinniahook-daemon -e packages/zinniahook-cli -e packages/zinniahook-testkit -e platform

.PHONY: demo test lint format bench stubs install clean

install: $(VENV)/installed

$(VENV)/installed: requirements.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements.txt $(PACKAGES)
	touch $@

demo: install
	$(PYTHON) -m zinniahook_testkit.demo

test: install
	$(PYTHON) -m pytest -n $(TEST_JOBS) --dist loadscope

lint: install
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: install
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

bench: install
	$(PYTHON) -m zinniahook_testkit.bench $(NAME)

stubs:
	packages/zinniahook-wire/stubs.sh

clean:
	rm -rf $(VENV)
