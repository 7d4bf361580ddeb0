"""Packages have no import cycles between their modules."""

import ast
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest

PACKAGES = Path(__file__).parents[1] / "packages"
ACYCLIC_PACKAGES = ("caller", "cli", "core", "store", "wire")


def imports(package):
    """Return the modules of a package that each module imports, by module name."""
    root = PACKAGES / f"zinniahook-{package}" / "src" / f"zinniahook_{package}"
    paths_by_name = {
        ".".join(path.relative_to(root).with_suffix("").parts): path
        for path in root.rglob("*.py")
        if path.name != "__init__.py"
    }
    return {
        name: {found for found in imported(name, path) if found in paths_by_name}
        for name, path in paths_by_name.items()
    }


def imported(name, path):
    """Yield the relative imports of a module, including those only for types."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.level:
            parents = name.split(".")[: -node.level]
            base = [*parents, *(node.module or "").split(".")]
            module = ".".join(part for part in base if part)
            yield module
            yield from (f"{module}.{alias.name}".lstrip(".") for alias in node.names)


class TestImportCycles:
    @pytest.mark.parametrize("package", ACYCLIC_PACKAGES)
    def test_a_package_has_none(self, package):
        """Modules in a cycle can only be understood together.

        Imports only for types count too, as a reader follows them.
        """
        try:
            TopologicalSorter(imports(package)).prepare()
        except CycleError as error:
            pytest.fail(f"import cycle: {' -> '.join(error.args[1])}")
