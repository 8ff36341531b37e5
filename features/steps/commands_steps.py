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
CUSTOMER = ROOT / "examples/clubs/customers/cuu-long.yaml"


@given("a store and a node as processes")
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
    context.code, context.said = done.returncode, done.stdout + done.stderr
    return done.stdout


@when('the folder "{folder}" is loaded by "{operator}" in "{language}"')
def load_folder(context, folder, operator, language):
    _run(context, "load", folder, operator=operator, language=language)


@when('customer "{name}" is shown in "{language}" and accepted back by "{operator}"')
def edit_back(context, name, language, operator):
    text = _run(context, "customer", "show", name, language=language)
    assert context.code == 0, context.said
    with tempfile.NamedTemporaryFile("w", suffix=".yaml", encoding="utf-8") as file:
        file.write(text)
        file.flush()
        _run(
            context,
            *("customer", "edit", name, file.name),
            operator=operator,
            language=language,
        )


@when('version {version:d} is rolled back to by "{operator}" in "{language}"')
def roll_back(context, version, operator, language):
    _run(context, "roll_back", str(version), operator=operator, language=language)


@then('the command ends with {code:d} and says "{part}"')
def check_command(context, code, part):
    assert context.code == code, context.said
    assert part.lower() in context.said.lower(), context.said


@then('the status in "{language}" waits for version {version:d} and names "{service}"')
def check_status(context, language, version, service):
    _run(context, "status", str(version), "--wait", language=language)
    assert context.code == 0, context.said
    assert service in context.said, context.said


@then('a booking is refused as "{kind}" and "{ran}" run, in "{language}"')
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


@then("these commands end so")
def check_commands(context):
    for row in context.table:
        words = [
            {"<bad": str(context.bad_template), "<customer>": str(CUSTOMER)}.get(
                word, word
            )
            for word in row["command"].split()
            if word != "template>"
        ]
        _run(context, *words)
        assert context.code == int(row["code"]), (row["command"], context.said)
        assert row["says"] in context.said, (row["command"], context.said)


@then("the versions list {count:d} versions by {operators}")
def check_versions(context, count, operators):
    entries = json.loads(_run(context, "versions", "--json"))
    names = [part.strip(' "') for part in operators.replace(" and ", ",").split(",")]
    assert [entry["version"] for entry in entries] == list(range(count, 0, -1))
    assert [entry["operator"] for entry in entries] == names[::-1]


@when('customer "{name}" gets a new host twice by the same change of "{operator}"')
def edit_twice(context, name, operator):
    text = CUSTOMER.read_text("utf-8").replace(".canhdieu", ".canh-dieu")
    settings = {"operator": operator, "language": "vi"}
    said = set()
    with tempfile.NamedTemporaryFile("w", suffix=".yaml", encoding="utf-8") as file:
        file.write(text)
        file.flush()
        for _ in range(2):
            words = ("customer", "edit", name, file.name, "--change=once")
            # The warnings are of the first attempt only.
            said.add(_run(context, *words, **settings).splitlines()[0])
            assert context.code == 0, context.said
    assert len(said) == 1, said


@when("the store stops answering")
def cut_store(context):
    fetch_json(f"{context.store_url}/faults", method="PUT", body={"outage": True})


@when("a second node of the same name starts")
def start_twin(context):
    ports = Ports()
    names = ("http_port", "admin_port", "control_port", "call_port")
    arguments = ["-m", "comfreytray", "node", "--node_id=only"]
    arguments += [f"--{name}={ports.take()}" for name in names]
    _start(context, [*arguments, f"--store_url={context.store_url}"])


@then("one of the two ends with {code:d} and its log names the node, the other runs on")
def check_twins(context, code):
    twins = context.processes[1:]
    wait_until(lambda: not all(one.running for one in twins), 120.0, "one to end")
    (ended,) = [one for one in twins if not one.running]
    assert ended.exit_code == code, ended.output()
    assert "node id only is in use" in ended.output(), ended.output()
