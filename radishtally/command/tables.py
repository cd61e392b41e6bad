"""Format tables and values for a terminal."""

import time
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, Final

COLUMN_GAP: Final = "  "


def format_table(titles: Sequence[str], rows: Iterable[Sequence[Any]]) -> list[str]:
    """Format rows as aligned columns below their titles."""
    texts = [list(titles), *([_format_cell(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    return [_format_row(row, widths) for row in texts]


def format_pairs(pairs: Mapping[str, Any], indent: str = "") -> list[str]:
    """Format nested names and values, one per line."""
    lines = []
    for name, value in pairs.items():
        if isinstance(value, dict) and value:
            lines.append(f"{indent}{name}:")
            lines += format_pairs(value, indent + COLUMN_GAP)
            continue
        lines.append(f"{indent}{name}: {_format_cell(value)}")
    return lines


def format_time(seconds: float) -> str:
    """Format a wall-clock time in UTC."""
    return time.strftime("%Y-%m-%d %H:%M:%SZ", time.gmtime(seconds))


def _format_cell(value: Any) -> str:
    if value is None or value == "" or value == {}:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, list | tuple):
        return ", ".join(map(str, value)) or "-"
    return str(value)


def _format_row(cells: Sequence[str], widths: Sequence[int]) -> str:
    padded = [cell.ljust(width) for cell, width in zip(cells, widths, strict=True)]
    return COLUMN_GAP.join(padded).rstrip()
