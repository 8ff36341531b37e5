import json
import subprocess
import sys
import tempfile
from pathlib import Path

import urllib3
from behave import given, then, when

from standins.processes import (
    ROOT,
    Ports,
    Process,
    fetch_json,
    python_environment,
    wait_until,
)

BAD_TEMPLATE = "mẫu: dat-san\ntuyen duong:\n  - tên: x\n"
CUSTOMER_FILE = ROOT / "examples/clubs/customers/cuu-long.yaml"


@given("an object store and a node as processes")
def start_processes(context):
    ports = Ports()
    store, http, admin, control, call = (ports.take() for _ in range(5))
    context.store_url = f"http://127.0.0.1:{store}"
    context.admin_url = f"http://127.0.0.1:{admin}"
    context.http_url = f"http://127.0.0.1:{http}"
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.bad_template = Path(folder.name, "bad.yaml")
    context.bad_template.write_text(BAD_TEMPLATE, "utf-8")
    context.processes = []
    for arguments in (
        ["standins/object_store.py", f"--port={store}"],
        [
            *("-m", "comfreytray", "node", "--node_id=only"),
            *(f"--http_port={http}", f"--admin_port={admin}"),
            *(f"--control_port={control}", f"--call_port={call}"),
            f"--store_url={context.store_url}",
        ],
    ):
        _start(context, arguments)


def _start(context, arguments):
    process = Process(arguments=arguments)
    context.add_cleanup(process.kill)
    context.processes.append(process)
    process.wait_for_output("ready")


def _run(context, *words, **settings):
    environment = {
        name: value
        for name, value in python_environment().items()
        if not name.startswith("COMFREYTRAY_")
    }
    environment["COMFREYTRAY_ADMIN_URL"] = context.admin_url
    for name, value in settings.items():
        environment[f"COMFREYTRAY_{name.upper()}"] = value
    done = subprocess.run(
        [sys.executable, "-m", "comfreytray", *words],
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
        check=False,
    )
    context.exit_code, context.output = done.returncode, done.stdout + done.stderr
    return done.stdout


@when('the folder "{folder}" is loaded by "{operator}" in "{language}"')
def load_folder(context, folder, operator, language):
    _run(context, "load", folder, operator=operator, language=language)


@when('"{operator}" shows customer "{name}" in "{language}" and submits the shown text')
def submit_shown_text(context, name, language, operator):
    text = _run(context, "customer", "show", name, language=language)
    assert context.exit_code == 0, context.output
    with tempfile.NamedTemporaryFile("w", suffix=".yaml", encoding="utf-8") as file:
        file.write(text)
        file.flush()
        _run(
            context,
            *("customer", "edit", name, file.name),
            operator=operator,
            language=language,
        )


@when('"{operator}" rolls back to version {version:d} in "{language}"')
def roll_back(context, version, operator, language):
    _run(context, "roll_back", str(version), operator=operator, language=language)


@then('the command exits with code {code:d} and prints "{part}"')
def check_command(context, code, part):
    assert context.exit_code == code, context.output
    assert part.lower() in context.output.lower(), context.output


@then('status {version:d} --wait in "{language}" succeeds and prints "{service}"')
def check_status(context, language, version, service):
    _run(context, "status", str(version), "--wait", language=language)
    assert context.exit_code == 0, context.output
    assert service in context.output, context.output


@then('a call is refused as "{kind}" with ran "{ran}" and a message in "{language}"')
def check_refusal(context, kind, ran, language):
    answer = urllib3.request(
        "POST",
        f"{context.http_url}/san/me-tri/dat-cho",
        headers={"Host": "hanoi.canhdieu.example", "Accept-Language": language},
        retries=False,
    )
    body = json.loads(answer.data)
    assert (answer.status, body["kind"], body["ran"]) == (503, kind, ran), body
    assert not body["message"].isascii(), body


@then("these commands exit with the code and print the text")
def check_commands(context):
    for row in context.table:
        words = [
            {"<bad": str(context.bad_template), "<customer>": str(CUSTOMER_FILE)}.get(
                word, word
            )
            for word in row["command"].split()
            if word != "template>"
        ]
        _run(context, *words)
        assert context.exit_code == int(row["code"]), (row["command"], context.output)
        assert row["prints"] in context.output, (row["command"], context.output)


@then("the command versions lists {count:d} versions by {operators}")
def check_versions(context, count, operators):
    entries = json.loads(_run(context, "versions", "--json"))
    names = [part.strip(' "') for part in operators.replace(" and ", ",").split(",")]
    assert [entry["version"] for entry in entries] == list(range(count, 0, -1))
    assert [entry["operator"] for entry in entries] == names[::-1]


@when('"{operator}" submits a new host of customer "{name}" twice with one change id')
def edit_twice(context, name, operator):
    text = CUSTOMER_FILE.read_text("utf-8").replace(".canhdieu", ".canh-dieu")
    settings = {"operator": operator, "language": "vi"}
    first_lines = set()
    with tempfile.NamedTemporaryFile("w", suffix=".yaml", encoding="utf-8") as file:
        file.write(text)
        file.flush()
        for _ in range(2):
            words = ("customer", "edit", name, file.name, "--change=once")
            # Only the first attempt returns warnings, on the lines that follow.
            first_lines.add(_run(context, *words, **settings).splitlines()[0])
            assert context.exit_code == 0, context.output
    assert len(first_lines) == 1, first_lines


@when("the object store fails")
def fail_store(context):
    fetch_json(f"{context.store_url}/faults", method="PUT", body={"outage": True})


@when("a second node with the same id starts")
def start_second_node(context):
    ports = Ports()
    names = ("http_port", "admin_port", "control_port", "call_port")
    arguments = ["-m", "comfreytray", "node", "--node_id=only"]
    arguments += [f"--{name}={ports.take()}" for name in names]
    _start(context, [*arguments, f"--store_url={context.store_url}"])


@then(
    "one of the two exits with code {code:d} and logs the id; the other keeps running"
)
def check_duplicate_id(context, code):
    nodes = context.processes[1:]
    wait_until(lambda: not all(one.running for one in nodes), 120.0, "one to end")
    (ended,) = [one for one in nodes if not one.running]
    assert ended.exit_code == code, ended.output()
    assert "node id only is in use" in ended.output(), ended.output()


DEADLY_PATH = "/san/me-tri/lich"


@given("an upstream beside the node whose process ends under one path")
def start_crashing_upstream(context):
    context.upstream_port = Ports().take()
    context.starts = 0
    _start_upstream(context)


def _start_upstream(context):
    context.starts += 1
    _start(
        context,
        [
            "standins/upstream.py",
            *("--service=lichbay", f"--port={context.upstream_port}"),
            "--instance_id=lichbay-1",
            f"--announce_url={context.admin_url}/v1/announcement",
            f"--crash_path={DEADLY_PATH}",
        ],
    )
    context.upstream = context.processes[-1]


def _call_deadly(context):
    answer = urllib3.request(
        "GET",
        f"{context.http_url}{DEADLY_PATH}",
        headers={"Host": "hanoi.canhdieu.example"},
        retries=False,
    )
    return json.loads(answer.data)["kind"]


@when('that path is called until the call is refused as "{kind}"')
def call_until(context, kind):
    context.kinds = []

    def is_refused():
        if not context.upstream.running:
            _start_upstream(context)
        context.kinds.append(_call_deadly(context))
        return context.kinds[-1] == kind

    wait_until(is_refused, 60.0, f"a call to be refused as {kind}")


@then("the command holds lists it with 3 ends, and a repetition is refused, not run")
def check_holds(context):
    context.held = json.loads(_run(context, "holds", "--json"))
    (held,) = context.held
    assert held["ends"] == 3, held
    assert held["label"] == f"GET hanoi.canhdieu.example{DEADLY_PATH}", held
    # The fourth start has seen no end.
    assert context.starts == 4, context.kinds
    assert _call_deadly(context) == "request-held"
    assert context.upstream.running


@when('"{operator}" releases it by the name that is listed')
def release_held(context, operator):
    _run(context, "release", context.held[0]["request"], operator=operator)
    assert context.exit_code == 0, context.output


@then("nothing is held back any more and the path is tried again")
def check_released(context):
    assert json.loads(_run(context, "holds", "--json")) == []
    wait_until(
        lambda: _call_deadly(context) and not context.upstream.running,
        20.0,
        "the released path to run",
    )
