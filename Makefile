PY := .venv/bin/python

.PHONY: quickstart test lint matrix bench format

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

bench: .venv/.installed
	$(PY) -m bench
