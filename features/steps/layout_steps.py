import ast
import graphlib
import re
from pathlib import Path

from behave import then, when

import comfreytray

ROOT = Path(comfreytray.__file__).parent
DESIGN = ROOT.parents[1] / "docs" / "DESIGN.md"
MAX_LINES = 350


def _module_name(path):
    parts = path.relative_to(ROOT.parent).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def _imported_names(path):
    for node in ast.walk(ast.parse(path.read_text("utf-8"))):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def _package(name):
    parts = name.split(".")
    return parts[1] if len(parts) > 2 else ""


@when("the imports of every module are read")
def read_imports(context):
    paths = sorted(ROOT.rglob("*.py"))
    names = {_module_name(path) for path in paths}
    modules = {
        name for name in names if not (ROOT.parent / Path(*name.split("."))).is_dir()
    }
    context.imports = {
        _module_name(path): {
            imported for imported in _imported_names(path) if imported in modules
        }
        - {_module_name(path)}
        for path in paths
        if _module_name(path) in modules
    }
    assert len(context.imports) > 100


@then("there is no import cycle")
def check_no_cycles(context):
    tuple(graphlib.TopologicalSorter(context.imports).static_order())


@then("a package imports only packages that stand before it in the list of DESIGN.md")
def check_import_order(context):
    order = re.findall(r"^\| `(\w+)/` \|", DESIGN.read_text("utf-8"), re.MULTILINE)
    packages = {_package(name) for name in context.imports} - {""}
    assert packages == set(order), packages ^ set(order)
    violations = [
        (name, other)
        for name, others in context.imports.items()
        for other in others
        if _package(name) and order.index(_package(other)) > order.index(_package(name))
    ]
    assert not violations, violations


@when("the lines of every module are counted")
def count_lines(context):
    context.lines = {
        _module_name(path): len(path.read_text("utf-8").splitlines())
        for path in ROOT.rglob("*.py")
    }


@then("no module has more than 350 lines")
def check_lengths(context):
    too_long = {
        name: count for name, count in context.lines.items() if count > MAX_LINES
    }
    assert not too_long, too_long
