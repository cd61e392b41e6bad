"""Tests of the import rules between and within packages."""

import ast
from collections.abc import Iterator
from pathlib import Path
from typing import Final

import pytest

import radishtally

ROOT: Final = Path(radishtally.__file__).parent
LAYERS: Final = (
    {"inbound", "teams"},
    {"limits", "links", "routes", "store"},
    {"routing", "usage"},
    {"serving"},
    {"direct"},
    {"engines"},
    {"stages"},
    {"entry", "gateway"},
)
"""Packages by layer, from the lowest up. A package may import packages of lower layers,
and none of its own layer."""
LAYER_OF: Final = {name: layer for layer, names in enumerate(LAYERS) for name in names}


def list_imports(path: Path) -> Iterator[str]:
    """List the packages of radishtally that a module imports."""
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


# Guards against a change of the entry breaking the gateway, or the other way round:
# shared code had been placed in one of them and was imported from everywhere.
@pytest.mark.parametrize("package", sorted(LAYER_OF))
def test_packages_import_only_lower_layers(package: str) -> None:
    for path in sorted((ROOT / package).rglob("*.py")):
        for imported in set(list_imports(path)) - {package}:
            if imported in LAYER_OF:
                assert LAYER_OF[imported] < LAYER_OF[package], (
                    f"{path.name}: {imported}"
                )


def list_modules(path: Path) -> Iterator[str]:
    """List the modules that a module imports, including imports for type checking."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            yield node.module
            yield from (f"{node.module}.{alias.name}" for alias in node.names)
        elif isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)


def find_import_cycle(imports: dict[str, set[str]]) -> list[str]:
    """Return the modules that are part of import cycles; none if there is no cycle."""
    left = dict(imports)
    while left:
        free = [name for name, needed in left.items() if not needed & left.keys()]
        if not free:
            return sorted(left)
        for name in free:
            del left[name]
    return []


# Guards against components that can't be tested alone, because they import the daemon
# that owns them, if only for type checking, while the daemon imports them.
@pytest.mark.parametrize("package", sorted(LAYER_OF))
def test_modules_of_a_package_have_no_import_cycle(package: str) -> None:
    imports = {
        f"radishtally.{package}.{path.stem}": set(list_modules(path))
        for path in (ROOT / package).glob("*.py")
        if path.stem != "__init__"
    }
    assert find_import_cycle(imports) == []
