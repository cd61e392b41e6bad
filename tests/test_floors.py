"""Tests of which package may import which."""

import ast
from collections.abc import Iterator
from pathlib import Path
from typing import Final

import pytest

import radishtally

ROOT: Final = Path(radishtally.__file__).parent
FLOORS: Final = (
    {"limits", "links", "routes", "store"},
    {"routing"},
    {"serving"},
    {"direct"},
    {"engines"},
    {"stages"},
    {"entry", "gateway"},
)
"""Packages from the lowest floor up; each imports what is on floors below, and nothing
that is on its own."""
PLACES: Final = {name: floor for floor, names in enumerate(FLOORS) for name in names}


def list_imports(path: Path) -> Iterator[str]:
    """List the packages of the product that a module imports."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            names = [node.module]
            if node.module == "radishtally":
                names = [f"radishtally.{alias.name}" for alias in node.names]
        elif isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        else:
            continue
        for name in names:
            first, _, rest = name.partition(".")
            if first == "radishtally" and rest:
                yield rest.partition(".")[0]


# A change of what is peculiar to one edge breaks the other one: what both share had
# grown inside one of them, and was reached there from everywhere.
@pytest.mark.parametrize("package", sorted(PLACES))
def test_no_import_goes_up_or_across(package: str) -> None:
    for path in sorted((ROOT / package).rglob("*.py")):
        for imported in set(list_imports(path)) - {package}:
            if imported in PLACES:
                assert PLACES[imported] < PLACES[package], f"{path.name}: {imported}"


def list_modules(path: Path) -> Iterator[str]:
    """List the modules of the product that a module imports, for types alone too."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            yield node.module
            yield from (f"{node.module}.{alias.name}" for alias in node.names)
        elif isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)


def find_circle(imports: dict[str, set[str]]) -> list[str]:
    """Find modules that import each other in a circle; none if there is no circle."""
    left = dict(imports)
    while left:
        free = [name for name, needed in left.items() if not needed & left.keys()]
        if not free:
            return sorted(left)
        for name in free:
            del left[name]
    return []


# A part of a daemon can't be read or tested without all others: it names the daemon
# that holds it, for types alone as well, and the daemon names it.
@pytest.mark.parametrize("package", sorted(PLACES))
def test_modules_of_a_package_import_in_no_circle(package: str) -> None:
    imports = {
        f"radishtally.{package}.{path.stem}": set(list_modules(path))
        for path in (ROOT / package).glob("*.py")
        if path.stem != "__init__"
    }
    assert find_circle(imports) == []
