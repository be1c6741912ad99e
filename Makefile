PY := .venv/bin/python

.PHONY: quickstart test lint matrix platform bench format

.venv/.installed: requirements.txt pyproject.toml
	python3.11 -m venv .venv
	.venv/bin/pip install -q -r requirements.txt
	.venv/bin/pip install -q --no-deps --no-build-isolation -e .
	touch $@

quickstart: .venv/.installed
	$(PY) -m standins.quickstart

test: .venv/.installed
	$(PY) -m pytest

lint: .venv/.installed
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .
	.venv/bin/mypy

format: .venv/.installed
	.venv/bin/ruff format .
	.venv/bin/ruff check --fix .

matrix: .venv/.installed
	$(PY) -m checks.matrix

platform:
	@if [ -z "$(SITE)" ] || [ -z "$(BENCH)" ]; then \
	  echo "usage: make platform SITE=path/of/site.toml BENCH=path/of/the/bench [DAY=quiet-1]"; \
	else \
	  $(BENCH) run $(SITE) $(or $(DAY),quiet-1) --why "make platform"; \
	fi

bench: .venv/.installed
	$(PY) -m bench
