VENV ?= .venv
PY := $(VENV)/bin/python
export PYTHONPATH := src
export EVENTLET_NO_GREENDNS := yes
SEED ?= 1
SECONDS ?= 60
SEEDS ?= 50

.PHONY: all setup format lint test demo soak fault-soak bench-calls bench-config bench-scale experiment catalogues

all: test

$(VENV)/ready: requirements.lock pyproject.toml
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install -q --disable-pip-version-check -r requirements.lock
	$(PY) -m pip install -q --disable-pip-version-check --no-deps --no-build-isolation -e . || \
	  $(PY) -m pip install -q --disable-pip-version-check --no-deps -e .
	touch $@

setup: $(VENV)/ready

format: setup
	$(VENV)/bin/ruff check --fix -q .
	$(VENV)/bin/ruff format -q .

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy

test: setup
	$(PY) -m behave --format progress3 --no-color features

demo: setup
	$(PY) examples/demo.py

soak: setup
	COMFREYTRAY_SOAK_SECONDS=$(SECONDS) COMFREYTRAY_SOAK_SEED=$(SEED) \
	  $(PY) -m behave --format progress --no-color --tags=soak features

fault-soak: setup
	PYTHONPATH=src:. $(PY) -W ignore -m soak --seed=$(SEED) --seeds=$(SEEDS) --seconds=$(SECONDS)

bench-calls: setup
	$(PY) benchmarks/calls.py

bench-config: setup
	$(PY) benchmarks/config.py

bench-scale: setup
	$(PY) benchmarks/scale.py

experiment: setup
	$(PY) benchmarks/experiment.py --seconds=$(SECONDS) --seed=$(SEED)

catalogues: setup
	$(VENV)/bin/pybabel -q compile -d src/comfreytray/locale -D comfreytray
