VENV := .venv
PY := $(VENV)/bin/python

.PHONY: demo test check clean

$(VENV)/.ready: requirements.txt pyproject.toml
	python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --requirement requirements.txt
	$(PY) -m pip install --quiet --no-deps --editable .
	touch $@

demo: $(VENV)/.ready
	$(PY) -m mangoramp demo

test: $(VENV)/.ready
	$(PY) -m pytest

check: $(VENV)/.ready
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy mangoramp

clean:
	rm -rf $(VENV)
