"""What deploy/node.py imports; a library that needs an absent module fails here."""

import hashlib
import json
import os
import shutil
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path

from behave import then, when

ROOT = Path(__file__).resolve().parents[2]
NODE = ROOT / "deploy" / "node.py"
CHECKED_HASH = 3
"""Flags of bytecode that is valid while its source has the recorded hash."""
DATA = b"a node's digest"
_REPORT_MODULES = f"""
import hashlib, json, sys
print(json.dumps({{
    "modules": [name for name, module in sys.modules.items() if module is not None],
    "blake2b": hashlib.blake2b({DATA!r}, digest_size=16).hexdigest(),
    "sha256": hashlib.sha256({DATA!r}).hexdigest(),
}}))
"""
_REPORT_BYTECODE = """
import json, sys
print(json.dumps({
    name: module.__cached__
    for name, module in sys.modules.items()
    if name.startswith("comfreytray")
}))
"""
_USE_HUB = """
import json, socket, sys
import eventlet
from eventlet import hubs
listener = eventlet.listen(("127.0.0.1", 0))
def answer():
    connection, _ = listener.accept()
    connection.sendall(connection.recv(10).upper())
    connection.close()
eventlet.spawn(answer)
caller = eventlet.connect(listener.getsockname())
caller.sendall(b"ping")
print(json.dumps({
    "got": caller.recv(10).decode(),
    "hub": type(hubs.get_hub()).__module__,
    "modules": list(sys.modules),
}))
"""


def _run(script, node=NODE, **variables):
    imports = f"import runpy; runpy.run_path({str(node)!r}, run_name='imports')\n"
    result = subprocess.run(
        [sys.executable, "-c", imports + script],
        env=os.environ | {"EVENTLET_NO_GREENDNS": "yes"} | variables,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert result.returncode == 0, result.stderr
    return json.loads(result.stdout)


@when("the imports of deploy/node.py are made in a new process")
def make_imports(context):
    context.report = _run(_REPORT_MODULES)


@then("neither asyncio, ssl nor OpenSSL's digests are loaded")
def check_modules(context):
    loaded = set(context.report["modules"])
    assert "comfreytray.node.proxynode" in loaded
    unused = {"asyncio", "ssl", "_ssl", "_hashlib", "subprocess"}
    assert not loaded & unused, loaded & unused


@then("the digests of a node are those of a Python with OpenSSL")
def check_digests(context):
    expected = hashlib.blake2b(DATA, digest_size=16).hexdigest()
    assert context.report["blake2b"] == expected
    assert context.report["sha256"] == hashlib.sha256(DATA).hexdigest()


@when("the imports of deploy/node.py are made in a new process with that hub")
def use_hub(context):
    context.report = _run(_USE_HUB, EVENTLET_HUB="asyncio")


@then("green threads and sockets work, and asyncio is loaded")
def check_hub(context):
    assert context.report["got"] == "PING", context.report
    assert context.report["hub"] == "eventlet.hubs.asyncio", context.report["hub"]
    assert "asyncio" in context.report["modules"]


@when("the last part of the build command has run on a copy without bytecode")
def build_copy(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    ignore = shutil.ignore_patterns("__pycache__")
    for name in ("src", "deploy"):
        shutil.copytree(ROOT / name, Path(folder.name, name), ignore=ignore)
    build = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["build"]
    _, _, command = build.rpartition(" && ")
    assert command.startswith("python3 -m compileall "), command
    words = [sys.executable, *command.split()[1:]]
    subprocess.run(words, cwd=folder.name, check=True, timeout=60)
    # Stands for a copy of the tree that does not keep the times of files.
    for path in Path(folder.name, "src").rglob("*.py"):
        os.utime(path, (0, 0))
    context.cached = _run(
        _REPORT_BYTECODE,
        node=Path(folder.name, "deploy", "node.py"),
        PYTHONDONTWRITEBYTECODE="1",
        PYTHONPATH="",
    )
    context.folder = folder.name


@then("each module of the node is loaded from bytecode that its source's hash checks")
def check_bytecode(context):
    assert len(context.cached) > 100, len(context.cached)
    for name, path in context.cached.items():
        assert path.startswith(context.folder), (name, path)
        flags = int.from_bytes(Path(path).read_bytes()[4:8], "little")
        assert flags == CHECKED_HASH, (name, flags)
