import os
import random
import re
import string
import unicodedata

import hypothesis
import msgpack
from attrs import evolve
from behave import then, when
from hypothesis import strategies as st

from comfreytray.common import messages
from comfreytray.common.errors import Failure, Kind
from comfreytray.configuration.compiler import MAX_TIMEOUT_S, compile_catalogue
from comfreytray.configuration.content import Head
from comfreytray.configuration.documents import (
    METHODS,
    Argument,
    Customer,
    ItemKind,
    Parameter,
    ParameterType,
    RouteTemplate,
    Setting,
    Source,
    Template,
    decode_catalogue,
    decode_document,
    encode_document,
)
from comfreytray.configuration.languages import vocabulary
from comfreytray.configuration.operations import Operations
from comfreytray.configuration.rejections import Cause
from comfreytray.configuration.rendering import render, translate
from comfreytray.configuration.templates import Parsed, parse
from comfreytray.configuration.yamltext import MAX_TEXT_BYTES
from comfreytray.testing import FakeClock, MemoryStore

SOURCE = Source(language="", parts=())
ROUND_TRIP_EXAMPLES = 60
DAMAGED_EXAMPLES = 300
TEXT_BY_LANGUAGE = {
    "vi": "mẫu: t\ntham số: {hạn: {kiểu: khoảng thời gian, mặc định: 1 giây}}\ntuyến:\n"
    "  - tên: r\n    đường dẫn: /a\n    dịch vụ: lichbay\n"
    "    phương thức: [GET]\n    thời hạn: 2 giây\n",
    "fr": "modèle: t\nparamètres: {hạn: {type: durée, défaut: 1 s}}\nroutes:\n"
    "  - nom: r\n    chemin: /a\n    service: lichbay\n"
    "    méthodes: [GET]\n    délai: 2 s\n",
    "en": "template: t\nparameters: {hạn: {type: duration, default: 1 s}}\nroutes:\n"
    "  - name: r\n    path: /a\n    service: lichbay\n"
    "    methods: [GET]\n    timeout: 2 s\n",
}
languages = st.sampled_from(messages.LANGUAGES)
names = st.sampled_from(["t", "sân-bay", "Équipe", "no", "null", "1e3", "ễ"])
texts = st.one_of(
    st.text(st.characters(exclude_categories=["Cc", "Cs", "Zl", "Zp"]), max_size=20),
    st.sampled_from(["no", "0x1", "~", "# c", "a: b", "- a", '"', "'", "{", "\ufeff"]),
).map(lambda one: unicodedata.normalize("NFC", one).strip())
durations = st.integers(1, int(MAX_TIMEOUT_S * 1000)).map(lambda ms: ms / 1000)
shares = st.integers(1, 1000).map(lambda one: one / 1000)
value_by_type = {
    ParameterType.TEXT: texts,
    ParameterType.DURATION: durations,
    ParameterType.SHARE: shares,
    ParameterType.BOOLEAN: st.booleans(),
}


@st.composite
def templates(draw):
    parameters = []
    chosen = st.lists(st.sampled_from(ParameterType), max_size=5)
    for number, type_ in enumerate(draw(chosen)):
        name = f"{draw(st.sampled_from(['hạn', 'số chỗ', 'délai']))}-{number}"
        default = draw(st.none() | value_by_type[type_])
        parameters.append(Parameter(name=name, type=type_, default=default))

    def setting(type_):
        fitting = [one.name for one in parameters if one.type is type_]
        if fitting and draw(st.booleans()):
            return Setting(parameter=draw(st.sampled_from(fitting)))
        return Setting(value=draw(value_by_type[type_]))

    routes = []
    for number in range(draw(st.integers(1, 3))):
        methods = draw(st.sets(st.sampled_from(METHODS), min_size=1))
        text = [one.name for one in parameters if one.type is ParameterType.TEXT]
        path = f"/$({text[0]})/{number}" if text else f"/{number}"
        routes.append(
            RouteTemplate(
                name=f"r{number}",
                path=path,
                methods=tuple(sorted(methods)),
                service="lichbay",
                idempotent=setting(ParameterType.BOOLEAN),
                timeout_s=setting(ParameterType.DURATION),
                share=setting(ParameterType.SHARE),
            )
        )
    return Template(
        name=draw(names),
        description=draw(texts),
        parameters=tuple(parameters),
        routes=tuple(routes),
        source=SOURCE,
    )


@st.composite
def pairs(draw):
    template = draw(templates())
    arguments = [
        Argument(name=one.name, type=one.type, value=draw(value_by_type[one.type]))
        for one in template.parameters
        if draw(st.booleans())
    ]
    customer = Customer(
        name=draw(names),
        template=template.name,
        hosts=("a.example", "xn--sn-xja.example"),
        arguments=tuple(sorted(arguments, key=lambda one: one.name)),
        source=SOURCE,
    )
    return template, customer


@then("documents are unchanged by a translation to another language and back")
def check_round_trips(context):
    @hypothesis.settings(
        max_examples=ROUND_TRIP_EXAMPLES,
        phases=(hypothesis.Phase.generate,),
        report_multiple_bugs=False,
    )
    @hypothesis.given(pairs(), languages, languages, st.booleans())
    def check(pair, first, second, decomposed):
        template, customer = pair
        known = {template.name: template}
        for kind, document in (
            (ItemKind.TEMPLATE, template),
            (ItemKind.CUSTOMER, customer),
        ):
            assert decode_document(encode_document(document)) == document
            text = "# chú thích: giữ lại\n" + render(document, vocabulary(first))
            form = "NFD" if decomposed else "NFC"
            parsed = parse(
                kind,
                unicodedata.normalize(form, text),
                vocabulary(first),
                file="",
                templates=known,
            )
            assert isinstance(parsed, Parsed), parsed
            assert parsed.document == document
            translated = translate(text, parsed, vocabulary(second), templates=known)
            reparsed = parse(
                kind, translated, vocabulary(second), file="", templates=known
            )
            assert isinstance(reparsed, Parsed), (translated, reparsed)
            assert reparsed.document == document
            back = translate(translated, reparsed, vocabulary(first), templates=known)
            assert back == text

    check()


@then("a decimal comma in a flow mapping is quoted and the comment is kept")
def check_flow(context):
    text = TEXT_BY_LANGUAGE["en"].replace("default: 1 s}}", "default: 1.5 s}}  # why")
    parsed = parse(ItemKind.TEMPLATE, text, vocabulary("en"), file="")
    translated = translate(text, parsed, vocabulary("fr"), templates={})
    assert 'défaut: "1,5 s"}}  # why' in translated, translated


def damage(random_, text):
    pieces = [
        *("{", "}", "[", "]", "&a ", "*a", "!x ", "|", ">", "\t", "\x00", "\ufffe"),
        *("$(", ")", "$(hạn)", "<<: ", "? ", "---\n", "%YAML 1.1\n", "'", '"', "\\"),
        *("- " * 50, "[" * 200, "1" * 400, "a: " * 20, "\u2028", "é\u0301", "..", "/"),
        *random_.choices(string.printable, k=3),
    ]
    for _ in range(random_.randint(1, 4)):
        position = random_.randrange(len(text) + 1)
        end = position + random_.choice((0, 0, 1, 5, 30))
        text = text[:position] + random_.choice(pieces) + text[end:]
    return text


@then("malformed and hostile texts are refused with a line and a cause")
def check_hostile(context):
    random_ = random.Random(int(os.environ.get("COMFREYTRAY_SOAK_SEED", "1")))
    causes = set()
    for number in range(DAMAGED_EXAMPLES):
        language = messages.LANGUAGES[number % 3]
        text = damage(random_, TEXT_BY_LANGUAGE[language])
        result = parse(ItemKind.TEMPLATE, text, vocabulary(language), file="f")
        if isinstance(result, Parsed):
            translated = translate(text, result, vocabulary("en"), templates={})
            reparsed = parse(ItemKind.TEMPLATE, translated, vocabulary("en"), file="f")
            assert isinstance(reparsed, Parsed), (text, translated)
            assert reparsed.document == result.document
            continue
        assert result.kind is Kind.INVALID_CONTENT
        lines = text.count("\n") + 2
        assert 1 <= int(result.fields["line"]) <= lines, (text, result)
        causes.add(result.fields["cause_id"])
    assert len(causes) >= 12, causes
    anchors = "a: &a [x, x]\nb: &b [*a, *a]\n"
    big = "mẫu: " + "x" * MAX_TEXT_BYTES
    deep = "a: " + "[" * 20_000
    wide = "a: [" + "x," * 30_000 + "x]"
    wanted = [Cause.YAML_ANCHOR, Cause.TEXT_TOO_LARGE, Cause.YAML_LIMITS]
    for text, cause in zip((anchors, big, deep), wanted, strict=True):
        result = parse(ItemKind.TEMPLATE, text, vocabulary("vi"), file="f")
        assert result.fields["cause_id"] == cause.value, result
    result = parse(ItemKind.TEMPLATE, wide, vocabulary("vi"), file="f")
    assert result.fields["cause_id"] == Cause.YAML_LIMITS.value, result


@when('the template line "{line}" is replaced by "{wrong}" in the "{language}" text')
def edit_wrong_line(context, line, wrong, language):
    text = TEXT_BY_LANGUAGE[language]
    assert line.strip() in text
    indent = "    " if not text.startswith(line.strip()) else ""
    context.language = language
    context.store = MemoryStore()
    context.failure = Operations(
        store=context.store, clock=FakeClock(), random=random.Random(1)
    ).edit(
        ItemKind.TEMPLATE,
        "t",
        text.replace(f"{indent}{line.strip()}", f"{indent}{wrong.strip()}", 1),
        operator="Lan",
        language=language,
    )


@then('the refusal names line {number:d} and "{instead}" and nothing is stored')
def check_refusal(context, number, instead):
    assert isinstance(context.failure, Failure)
    message = messages.text(context.failure, language=context.language)
    line = {"vi": "dòng", "fr": "ligne", "en": "line"}[context.language]
    assert f"template/t, {line} {number}," in message, message
    assert instead in message, message
    assert not context.store.object_by_key


@then("every kind and cause has a text without placeholders in every language")
def check_renders(context):
    marker = re.compile(r"[{}]|kind\.|cause\.")
    for language in messages.LANGUAGES:
        for kind in Kind:
            message = messages.text(Failure(kind=kind), language=language)
            assert message and not marker.search(message), message
        for cause in Cause:
            message = messages.text(f"cause.{cause.value}", language=language)
            assert message and not marker.search(message), message
    hostile = Failure(kind=Kind.NOT_FOUND, fields={"name": "{name.__class__} {0}"})
    assert "{name.__class__} {0}" in messages.text(hostile, language="en")
    unfilled = evolve(hostile, fields={})
    assert messages.text(unfilled, language="xx") == messages.text(
        unfilled, language="en"
    )


@then("hostile values of a text parameter in a path are refused as a bad path")
def check_injection(context):
    operations = Operations(
        store=MemoryStore(), clock=FakeClock(), random=random.Random(1)
    )
    template = (
        "template: t\nparameters: {field: {type: text}}\nroutes:\n"
        "  - {name: r, path: /$(field)/book, service: lichbay, methods: POST}\n"
    )
    author = {"operator": "Sam", "language": "en"}
    edited = operations.edit(ItemKind.TEMPLATE, "t", template, **author)
    assert not isinstance(edited, Failure), edited
    for value in ("..", ".", "", "a/b", "a/../..", "$(field)", "a?b", "a\\nroutes: x"):
        text = (
            "customer: c\ntemplate: t\nhosts: c.example\n"
            f'parameters: {{field: "{value}"}}'
        )
        result = operations.edit(ItemKind.CUSTOMER, "c", text, **author)
        assert isinstance(result, Failure), value
        assert result.fields["cause_id"] == Cause.BAD_PATH.value, result
        message = messages.text(result, language="en")
        assert message.startswith("customer/c, line 4, column 14:"), message


def damage_row(random_, row):
    if isinstance(row, list) and row and random_.random() < 0.85:
        index = random_.randrange(len(row))
        return [*row[:index], damage_row(random_, row[index]), *row[index + 1 :]]
    return random_.choice(
        [None, 1, -1.5, True, "x", "$(x)", "", b"x", [], [1], {}, "text", float("nan")]
    )


@then("damaged stored documents are refused or compile to routes within the limits")
def check_damaged(context):
    random_ = random.Random(int(os.environ.get("COMFREYTRAY_SOAK_SEED", "1")))
    words = vocabulary("en")
    text = TEXT_BY_LANGUAGE["en"].replace("path: /a", "path: /$(x)")
    text = text.replace("2 s", "$(hạn)").replace(": {hạn", ": {x: {type: text}, hạn")
    template = parse(ItemKind.TEMPLATE, text, words, file="").document
    customer = "customer: c\ntemplate: t\nhosts: h\nparameters: {x: v}\n"
    known = {"t": template}
    filled = parse(ItemKind.CUSTOMER, customer, words, file="", templates=known)
    bodies = [encode_document(template), encode_document(filled.document)]
    compiled = 0
    for _ in range(10 * DAMAGED_EXAMPLES):
        damaged = list(bodies)
        position = random_.randrange(2)
        row = damage_row(random_, msgpack.unpackb(bodies[position]))
        damaged[position] = msgpack.packb(row)
        keys = ("template/t", "customer/c")
        catalogue = decode_catalogue(dict(zip(keys, damaged, strict=True)))
        if isinstance(catalogue, Failure):
            continue
        snapshot = compile_catalogue(Head(version=1, digest=b""), catalogue)
        if isinstance(snapshot, Failure):
            continue
        compiled += 1
        for route in snapshot.routes_by_customer["c"]:
            assert route.methods <= set(METHODS) and route.path.startswith("/")
            assert 0 < route.timeout_s <= MAX_TIMEOUT_S and 0 < route.share <= 1
    assert compiled > 100, compiled
