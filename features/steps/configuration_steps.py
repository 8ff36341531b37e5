import ast
import random
import re
import subprocess
import sys
from pathlib import Path

from babel.messages.mofile import read_mo
from babel.messages.pofile import read_po
from behave import given, then, when
from ruamel.yaml import YAML

from comfreytray.common import messages
from comfreytray.common.errors import Failure, Kind
from comfreytray.configuration.compiler import compile_snapshot
from comfreytray.configuration.content import Content
from comfreytray.configuration.documents import ItemKind
from comfreytray.configuration.folders import read_folder
from comfreytray.configuration.languages import Word, vocabulary
from comfreytray.configuration.operations import Operations
from comfreytray.configuration.rejections import Cause
from comfreytray.configuration.rendering import translate
from comfreytray.configuration.templates import parse
from comfreytray.testing import FakeClock, MemoryStore

EXAMPLES = Path(__file__).parents[2] / "examples"
SOURCE = Path(messages.__file__).parents[1]
TEMPLATE = """# Đặt sân
mẫu: dat-san
tham số:
  sân: {kiểu: chữ}
  hạn: {kiểu: khoảng thời gian, mặc định: "2,5 giây"}  # mặc định
tuyến:
  - tên: dat-cho
    đường dẫn: /$(sân)/slots
    phương thức: [POST]
    dịch vụ: lichbay
    chạy lại được: không
    thời hạn: $(hạn)
    phần chỗ: 40%
"""
CUSTOMER = """khách hàng: hoa-sen
mẫu: dat-san
tên miền: [hoasen.example]
tham số:
  sân: hoa-sen
"""


def operations(store, seed=1, **options):
    return Operations(
        store=store, clock=FakeClock(), random=random.Random(seed), **options
    )


def succeeded(result):
    assert not isinstance(result, Failure), result
    return result


@given("an empty store")
def make_store(context):
    context.store = MemoryStore()
    context.operations = operations(context.store)


@when("an operator submits a template and a customer in Vietnamese")
def accept_two(context):
    content = Content()
    for kind, name, text in (
        (ItemKind.TEMPLATE, "dat-san", TEMPLATE),
        (ItemKind.CUSTOMER, "hoa-sen", CUSTOMER),
    ):
        result = succeeded(
            context.operations.edit(kind, name, text, operator="Lan", language="vi")
        )
        for digest, blob in result.new_blobs.items():
            assert content.put(digest, blob) is None
    context.head, context.content = result.head, content


@then("the accepted version compiles to the customer's routes")
def check_routes(context):
    snapshot = succeeded(compile_snapshot(context.head, context.content))
    route = succeeded(
        snapshot.match(host="HoaSen.example:80", method="POST", path="/hoa-sen/slots/9")
    )
    assert (route.service, route.idempotent, route.timeout_s, route.share) == (
        "lichbay",
        False,
        2.5,
        0.4,
    )


@then("the template translated to any language translates back to the original text")
def check_round_trip(context):
    for language in messages.LANGUAGES:
        view = succeeded(
            context.operations.show(ItemKind.TEMPLATE, "dat-san", language=language)
        )
        assert "# Đặt sân" in view.text and "# mặc định" in view.text
        there = succeeded(
            parse(ItemKind.TEMPLATE, view.text, vocabulary(language), file="")
        )
        back = translate(view.text, there, vocabulary("vi"), templates={})
        assert back == TEMPLATE


def _message_ids():
    ids = {f"kind.{kind.value}" for kind in Kind}
    ids |= {f"cause.{cause.value}" for cause in Cause}
    ids |= {f"word.{word.value}" for word in Word}
    ids |= {f"item.{kind.value}" for kind in ItemKind}
    prefixes = set()
    ids |= {"summary.edit", "summary.remove", "summary.roll-back"}
    for path in SOURCE.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            if not ast.unparse(node.func).endswith("messages.text"):
                continue
            first = node.args[0]
            if isinstance(first, ast.Constant) and isinstance(first.value, str):
                ids.add(first.value)
            if isinstance(first, ast.JoinedStr):
                prefixes.add(first.values[0].value)
    return ids, tuple(prefixes)


def _fields(text):
    return set(re.findall(r"{(\w+)}", text))


@then(
    "every catalogue has exactly the messages that the code uses, with the same fields"
)
def check_catalogues(context):
    ids, prefixes = _message_ids()
    fields_by_id = {}
    for language in messages.LANGUAGES:
        base = SOURCE / "locale" / language / "LC_MESSAGES" / "comfreytray"
        with open(f"{base}.po", "rb") as file:
            written = {m.id: m.string for m in read_po(file, locale=language) if m.id}
        with open(f"{base}.mo", "rb") as file:
            compiled = {m.id: m.string for m in read_mo(file) if m.id}
        assert written == compiled, f"{language}: run make catalogues"
        absent = sorted(one for one in ids if not written.get(one))
        assert not absent, f"{language} lacks {absent}"
        unused = [one for one in written if one not in ids]
        unused = [one for one in unused if not one.startswith(prefixes)]
        assert not unused, f"{language} has unused {unused}"
        for one, text in written.items():
            wanted = fields_by_id.setdefault(one, _fields(text))
            assert _fields(text) == wanted, f"{language} {one}: other fields"
        assert len(vocabulary(language).spelling_by_word) == len(Word)


@when('the folder "{folder}" is submitted in "{language}"')
def accept_folder(context, folder, language):
    context.folder, context.language = EXAMPLES / folder, language
    context.operations = operations(MemoryStore())
    context.items = succeeded(read_folder(context.folder, language=language))
    context.result = succeeded(
        context.operations.edit_many(context.items, operator="An", language=language)
    )


@then("its {count:d} customers have routes to exactly the services in its places file")
def check_services(context, count):
    content = Content(blob_by_digest=dict(context.result.new_blobs))
    snapshot = succeeded(compile_snapshot(context.result.head, content))
    context.places = YAML(typ="safe").load(context.folder / "places.yaml")
    assert len(snapshot.routes_by_customer) == count
    assert snapshot.services == set(context.places["services"])


@then("its places file lists {count:d} endpoints in 6 data centres")
def check_places(context, count):
    centres = [one for each in context.places["regions"].values() for one in each]
    services = context.places["services"].values()
    assert len(centres) == len(set(centres)) == 6
    assert all(set(one["endpoints"]) <= set(centres) for one in services)
    assert sum(sum(one["endpoints"].values()) for one in services) == count


@then("each text translated to any language translates back to the original")
def check_texts(context):
    own = vocabulary(context.language)
    templates = {}
    for item in context.items:
        parsed = succeeded(
            parse(item.kind, item.text, own, file="", templates=templates)
        )
        if item.kind is ItemKind.TEMPLATE:
            templates[item.name] = parsed.document
        for language in messages.LANGUAGES:
            view = succeeded(
                context.operations.show(item.kind, item.name, language=language)
            )
            there = succeeded(
                parse(
                    item.kind,
                    view.text,
                    vocabulary(language),
                    file="",
                    templates=templates,
                )
            )
            assert there.document == parsed.document
            assert translate(view.text, there, own, templates=templates) == item.text


@when("a process imports the compiler, the operations and the messages")
def import_modules(context):
    code = (
        "import sys\n"
        "from comfreytray.configuration import compiler, operations\n"
        "from comfreytray.common import messages\n"
        "from comfreytray.configuration import languages\n"
        "languages.vocabulary('vi')\n"
        "print(*sorted(sys.modules))"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    context.modules = done.stdout.split()


@then("neither the YAML library nor Babel is loaded")
def check_modules(context):
    assert "comfreytray.configuration.operations" in context.modules
    loaded = {one.partition(".")[0] for one in context.modules}
    assert not loaded & {"ruamel", "babel", "yaml"}
    assert "comfreytray.configuration.yamlreader" not in context.modules
