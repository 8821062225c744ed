VENV ?= .venv
PY = $(VENV)/bin/python
STAMP = $(VENV)/.installed
SEED ?= 1
EXPERIMENT ?= relay
KEEP ?= 0
SEEDS ?= 5
PLATFORM ?= 0

.PHONY: run test check spec tests bench capacity fuzz format soak-day fault-soak

$(STAMP): constraints.txt pyproject.toml
	python3 -m venv $(VENV)
	$(PY) -m pip install -q --disable-pip-version-check -c constraints.txt -e '.[test]'
	touch $(STAMP)

run: $(STAMP)
ifeq ($(PLATFORM),1)
	$(PY) platform/demo.py
else
	$(VENV)/bin/radishshift-demo --keep=$(KEEP)
endif

format: $(STAMP)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

check: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

tests: $(STAMP)
	$(PY) -m pytest -n 6 --dist worksteal tests

test: check spec tests

bench: $(STAMP)
	$(VENV)/bin/radishshift-bench --experiment=$(EXPERIMENT) --seed=$(SEED) $(FLAGS)

capacity: $(STAMP)
	$(PY) -m radishshift.capacity docs/capacity docs/CAPACITY.md

soak-day: $(STAMP)
	$(PY) tools/days.py --bench=$(FLEETBENCH) --site=$(SITE) --seeds=$(SEEDS) $(FLAGS)

fault-soak: $(STAMP)
	$(PY) tools/fault_soak.py --seeds=$(or $(SEEDS),50) $(FLAGS)

fuzz: $(STAMP)
	RADISHSHIFT_FUZZ=1 $(PY) -m pytest tests -k fuzz

spec: $(STAMP)
	$(PY) -m spec
