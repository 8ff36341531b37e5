import contextlib
import io
import json
import runpy
import shlex
import subprocess
import sys
from urllib.parse import quote

from behave import given, then, when
from hypothesis import given as property_of
from hypothesis import strategies as st

import comfreytray
from comfreytray.administration.api import MAX_BODY_BYTES, AdminApi
from comfreytray.common import settings
from comfreytray.common.exceptions import SettingError
from comfreytray.common.logs import Event, format_event
from standins.processes import python_environment


@when('the setting "{name}" is given as "{value}"')
def give_setting(context, name, value):
    context.refusal = None
    try:
        settings.load({name: value}, {})
    except SettingError as error:
        context.refusal = error


@then('it is refused and the refusal names "{shown}", "{value}" and "{allowed}"')
def check_refusal(context, shown, value, allowed):
    assert context.refusal is not None
    assert context.refusal.exit_code == 2
    fields = context.refusal.failure.fields
    assert fields["setting"] == shown, fields
    assert fields["value"] == value, fields
    assert fields["allowed"] == allowed, fields


@when("a port and a token are set in the environment and the port by a flag")
def set_both(context):
    environment = {
        "COMFREYTRAY_HTTP_PORT": "1000",
        "COMFREYTRAY_ADMIN_TOKEN": "hidden",
        "PATH": "ignored",
    }
    context.settings = settings.load({"http_port": 2000}, environment)


@then("the flag's port is in force and the token is shown masked")
def check_precedence(context):
    shown = settings.effective(context.settings)
    assert context.settings.http_port == 2000
    assert context.settings.admin_token == "hidden"
    assert shown["admin_token"] == settings.MASK
    assert set(shown) == set(settings.names())


@then("every value in a log line is one token that can be parsed back")
def check_log_lines(context):
    @property_of(st.text() | st.integers() | st.floats())
    def check_one_token(value):
        line = format_event(Event.CALL_FAILED, {"reason": value, "last": 1})
        assert len(line.splitlines()) == 1
        head, _, rest = line.partition(" reason=")
        value_text, _, last = rest.rpartition(" last=")
        assert (head, last) == ("event=call-failed", "1")
        if value_text.startswith('"'):
            assert json.loads(value_text) == str(value)
        else:
            assert shlex.split(value_text) == [value_text]

    check_one_token()


def _request(context, method, path, body=b"", token="secret", **extra):
    responses = []
    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": path,
        "CONTENT_LENGTH": str(len(body)),
        "wsgi.input": io.BytesIO(body),
        "REMOTE_ADDR": "127.0.0.1",
        **extra,
    }
    if token:
        environ["HTTP_AUTHORIZATION"] = f"Bearer {token}"
    start = lambda status, headers: responses.append((status, dict(headers)))
    data = b"".join(context.api.wsgi_app(environ, start))
    return int(responses[0][0].split()[0]), json.loads(data)


@given("an administration API with a token")
def make_api(context):
    context.operators = []

    def fail(request, /, **parts):
        raise ValueError("broken handler")

    def record_operator(request, /, **parts):
        context.operators.append(request.operator)
        return parts

    context.api = AdminApi(token="secret", message_for=lambda failure, _: "text")
    context.api.add("PUT", "/v1/things/<name>", record_operator, edits=True)
    context.api.add("GET", "/v1/broken", fail)


def _check_refused(answer, kind):
    status, document = answer
    assert status >= 400
    assert document["error"]["kind"] == kind, document


@then('a request without the token is refused as "{kind}"')
def check_token(context, kind):
    _check_refused(_request(context, "GET", "/v1/broken", token=""), kind)
    _check_refused(_request(context, "GET", "/v1/broken", token="other"), kind)


@then('an edit without an operator is refused as "{kind}"')
def check_operator(context, kind):
    _check_refused(_request(context, "PUT", "/v1/things/a"), kind)
    assert context.operators == []


@then('an unknown path is refused as "{kind}"')
def check_path(context, kind):
    _check_refused(_request(context, "GET", "/v1/nothing"), kind)


@then('a wrong method is refused as "{kind}"')
def check_method(context, kind):
    _check_refused(_request(context, "GET", "/v1/things/a"), kind)


@then('an oversized body is refused as "{kind}"')
def check_body(context, kind):
    size = {"CONTENT_LENGTH": str(MAX_BODY_BYTES + 1)}
    _check_refused(_request(context, "PUT", "/v1/things/a", **size), kind)


@then('an error in a handler is answered as "{kind}" and the next request is served')
def check_handler_error(context, kind):
    _check_refused(_request(context, "GET", "/v1/broken"), kind)
    operator = {"HTTP_COMFREYTRAY_OPERATOR": "Lan"}
    status, document = _request(context, "PUT", "/v1/things/b%2Fc", **operator)
    assert (status, document["result"]) == (200, {"name": "b/c"})


@then("an operator's name in any script is received unchanged")
def check_operator_name(context):
    operator = {"HTTP_COMFREYTRAY_OPERATOR": quote("Nguyễn Thị Lan")}
    _request(context, "PUT", "/v1/things/a", **operator)
    assert context.operators[-1] == "Nguyễn Thị Lan"


@then("every public name loads")
def check_public_names(context):
    assert set(comfreytray._MODULE_BY_NAME) == set(comfreytray.__all__)
    for name in comfreytray.__all__:
        assert getattr(comfreytray, name) is not None


@then('the example "{path}" prints "{text}"')
def check_example(context, path, text):
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        runpy.run_path(path, run_name="__main__")
    assert text in printed.getvalue()


@when('the command line is called with "{arguments}"')
def call_command_line(context, arguments):
    environment = {**python_environment(), "PAGER": "cat"}
    context.process = subprocess.run(
        [sys.executable, "-W", "ignore", "-m", "comfreytray", *shlex.split(arguments)],
        env=environment,
        capture_output=True,
        text=True,
        stdin=subprocess.DEVNULL,
    )


@then('it shows "{shown}" and every setting with its default, and ends with success')
def check_help(context, shown):
    process = context.process
    text = process.stdout + process.stderr
    assert process.returncode == 0, text
    assert shown in text, text
    for name, default, _ in settings.describe():
        assert f"--{name}={default}" in process.stdout, (name, text)
