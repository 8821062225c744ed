"""Plain-text tables for terminal output."""

from collections.abc import Sequence

__all__ = ["format_table"]


def format_table(headings: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return rows under headings as text, with columns as wide as their content."""
    cells = [list(headings), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(headings))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in cells
    ]
    return "\n".join(line.rstrip() for line in lines)
