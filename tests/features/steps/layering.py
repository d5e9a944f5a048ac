"""Steps that look at the modules' imports and size."""

import ast
from pathlib import Path

from behave import then

import boragestream

ROOT = Path(boragestream.__file__).parent
LAYERS = (
    {"base"},
    {"document"},
    {"policy"},
    {"platform", "backend", "entry"},
    {"serving"},
    {"caller"},
    {"operator"},
    {"daemon"},
)
LAYER = {name: index for index, names in enumerate(LAYERS) for name in names}
MAX_LINES = 400


def modules():
    """Return each module's package, path and text."""
    paths = [p for p in sorted(ROOT.rglob("*.py")) if p.parent != ROOT]
    return [(p.relative_to(ROOT).parts[0], p, p.read_text()) for p in paths]


def imported_packages(text):
    """Return the project's packages that a module imports."""
    names = set()
    for node in ast.walk(ast.parse(text)):
        if isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module)
        elif isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
    parts = [n.split(".") for n in names if n.startswith("boragestream.")]
    return {part[1] for part in parts}


@then("no module imports a package above its own or beside it")
def step(context):
    wrong = [
        (str(path), imported)
        for package, path, text in modules()
        for imported in imported_packages(text) - {package}
        if LAYER[imported] >= LAYER[package]
    ]
    assert not wrong, wrong
    assert {package for package, _, _ in modules()} == set(LAYER)


@then("every module opens with a docstring, and none has more than 400 lines")
def step(context):
    silent = [
        str(p) for _, p, text in modules() if not ast.get_docstring(ast.parse(text))
    ]
    long = [str(p) for _, p, text in modules() if len(text.splitlines()) > MAX_LINES]
    assert not silent, silent
    assert not long, long
