"""Imports between the modules of the package."""

import ast
import graphlib
import pathlib

import walnutport

ROOT = pathlib.Path(walnutport.__file__).parent


def module_name(path: pathlib.Path) -> str:
    """Return the dotted name of a file."""
    parts = path.relative_to(ROOT.parent).with_suffix('').parts
    return '.'.join(parts[:-1] if parts[-1] == '__init__' else parts)


def imports_by_module() -> dict[str, set[str]]:
    """Return the modules of the package that each module imports.

    Imports inside functions and for type checks count too.
    """
    paths = {module_name(path): path for path in ROOT.rglob('*.py')}
    found: dict[str, set[str]] = {}
    for name, path in paths.items():
        used: set[str] = set()
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and node.module:
                for item in node.names:
                    full = f'{node.module}.{item.name}'
                    used.add(full if full in paths else node.module)
            elif isinstance(node, ast.Import):
                used.update(item.name for item in node.names)
        found[name] = {other for other in used & paths.keys()} - {name}
    return found


def test_no_modules_import_each_other():
    """Guards against modules that can only be read and changed together."""
    graph = imports_by_module()
    assert len(graph) > 200
    # Raises CycleError, which names the modules of a cycle.
    tuple(graphlib.TopologicalSorter(graph).static_order())
