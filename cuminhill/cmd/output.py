"""Output of the command-line tool: tables for people, JSON for programs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import click
import orjson

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping, Sequence

MAX_CELL_CHARS = 60
MAX_LIST_ITEMS = 6

json_option = click.option(
    "--json", "as_json", is_flag=True, help="Print JSON, for programs."
)


def emit(value: Any, as_json: bool, render: Callable[[Any], str] | None = None) -> None:
    """Print a value as JSON or in readable form."""
    if as_json:
        click.echo(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode())
        return
    click.echo((render or render_value)(value))


def render_table(
    rows: Sequence[Mapping[str, Any]], columns: Iterable[str] = (), empty: str = "none"
) -> str:
    """Return rows as a table; without ``columns``, all keys in order of appearance."""
    if not rows:
        return empty
    names = list(columns) or list(dict.fromkeys(key for row in rows for key in row))
    cells = [[name.upper() for name in names]]
    cells += [[cell(row.get(name)) for name in names] for row in rows]
    widths = [max(len(line[index]) for line in cells) for index in range(len(names))]
    return "\n".join(
        "  ".join(
            text.ljust(width) for text, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in cells
    )


def render_value(value: Any, indent: int = 0) -> str:
    """Return a nested mapping as lines and tables."""
    pad = " " * indent
    if not isinstance(value, dict):
        return pad + cell(value)
    plain = {key: item for key, item in value.items() if not _is_nested(item)}
    width = max((len(str(key)) for key in plain), default=0)
    lines = [f"{pad}{key!s:<{width}}  {cell(item)}" for key, item in plain.items()]
    for key, item in value.items():
        if not _is_nested(item):
            continue
        lines.append(f"{pad}{key}:")
        lines.append(_render_nested(item, indent + 2))
    return "\n".join(lines)


def cell(value: Any) -> str:
    """Return a value as short text on one line."""
    if value is None or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, list):
        shown = ", ".join(cell(item) for item in value[:MAX_LIST_ITEMS])
        more = f", ... ({len(value)})" if len(value) > MAX_LIST_ITEMS else ""
        return (shown + more) or "-"
    text = value if isinstance(value, str) else orjson.dumps(value).decode()
    # Replaces control characters, so that a value cannot control the terminal.
    text = "".join(char if char.isprintable() else "?" for char in text)
    if len(text) <= MAX_CELL_CHARS:
        return text
    return text[: MAX_CELL_CHARS - 3] + "..."


def _is_nested(value: Any) -> bool:
    if isinstance(value, dict):
        return bool(value)
    return isinstance(value, list) and bool(value) and isinstance(value[0], dict)


def _render_nested(value: Any, indent: int) -> str:
    pad = " " * indent
    if isinstance(value, list):
        table = render_table(value)
    elif all(_is_row(item) for item in value.values()):
        table = render_table([{"": key, **(item or {})} for key, item in value.items()])
    else:
        return render_value(value, indent)
    return "\n".join(pad + line for line in table.splitlines())


def _is_row(value: Any) -> bool:
    if value is None:
        return True
    return isinstance(value, dict) and not any(
        _is_nested(item) for item in value.values()
    )
