# VENV may name an environment that is shared by several work trees.
VENV ?= .venv
PY := $(VENV)/bin/python
MINUTES ?= 5
HOSTS ?= 86

.PHONY: setup test lint format types demo fleet bench capacity idle soak \
	soak-properties count binary

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.txt requirements-dev.txt
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet -r requirements-dev.txt
	touch $@

test: setup
	HYPOTHESIS_PROFILE=ci PYTHONHASHSEED=0 $(PY) -m pytest -n 6 --dist loadfile \
		--doctest-modules tests walnutport

lint: setup
	$(PY) -m ruff format --check .
	$(PY) -m flake8 walnutport standins bench tests tools

format: setup
	$(PY) -m tools.sort_imports
	$(PY) -m ruff format .

types: setup
	$(PY) -m mypy

demo: setup
	$(PY) -m bench.demo

bench: setup
	$(PY) -m bench.run

capacity: setup
	$(PY) -m bench.capacity

idle: setup
	$(PY) -m bench.idle_host --hosts $(HOSTS)

soak: setup
	$(PY) -m bench.fleet_soak --minutes $(MINUTES)

soak-properties: setup
	$(PY) -m bench.soak --minutes $(MINUTES)

count: setup
	$(PY) -m bench.count

binary: setup
	$(PY) -m release.build

fleet: setup
	$(PY) -m bench.fleet
