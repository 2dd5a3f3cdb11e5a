"""The modules of the package have no import cycles."""

import ast
import graphlib
import pathlib

import walnutport

ROOT = pathlib.Path(walnutport.__file__).parent


def module_name(path: pathlib.Path) -> str:
    """Return the dotted module name of a file."""
    parts = path.relative_to(ROOT.parent).with_suffix('').parts
    return '.'.join(parts[:-1] if parts[-1] == '__init__' else parts)


def imports_by_module() -> dict[str, set[str]]:
    """Return the modules of the package that each module imports.

    Imports inside functions and under ``TYPE_CHECKING`` are included.
    """
    paths = {module_name(path): path for path in ROOT.rglob('*.py')}
    modules_by_importer: dict[str, set[str]] = {}
    for name, path in paths.items():
        imported: set[str] = set()
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and node.module:
                for item in node.names:
                    full_name = f'{node.module}.{item.name}'
                    imported.add(
                        full_name if full_name in paths else node.module
                    )
            elif isinstance(node, ast.Import):
                imported.update(item.name for item in node.names)
        modules_by_importer[name] = {
            other for other in imported & paths.keys()
        } - {name}
    return modules_by_importer


def test_no_import_cycles():
    """Guards against modules that can only be understood together."""
    graph = imports_by_module()
    assert len(graph) > 200
    # Raises CycleError, which lists the modules of a cycle.
    tuple(graphlib.TopologicalSorter(graph).static_order())
