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

from comfreytray.calls.estimates import Exclusion
from comfreytray.commands import display
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


def make_operations(store, seed=1, **options):
    return Operations(
        store=store, clock=FakeClock(), random=random.Random(seed), **options
    )


def succeeded(result):
    assert not isinstance(result, Failure), result
    return result


@given("an empty store")
def make_store(context):
    context.store = MemoryStore()
    context.operations = make_operations(context.store)


@when("an operator submits a template and a customer in Vietnamese")
def submit_items(context):
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
def check_template_round_trip(context):
    for language in messages.LANGUAGES:
        view = succeeded(
            context.operations.show(ItemKind.TEMPLATE, "dat-san", language=language)
        )
        assert "# Đặt sân" in view.text and "# mặc định" in view.text
        parsed_view = succeeded(
            parse(ItemKind.TEMPLATE, view.text, vocabulary(language), file="")
        )
        translated_back = translate(
            view.text, parsed_view, vocabulary("vi"), templates={}
        )
        assert translated_back == TEMPLATE


def _message_ids():
    """Collect the ids and the id prefixes of `messages.text` calls in the code."""
    ids = {f"kind.{kind.value}" for kind in Kind}
    ids |= {f"cause.{cause.value}" for cause in Cause}
    ids |= {f"word.{word.value}" for word in Word}
    ids |= {f"item.{kind.value}" for kind in ItemKind}
    ids |= {f"explain.{reason.value}" for reason in Exclusion}
    ids |= {f"explain.title-{name}" for name in display.CANDIDATE_COLUMNS}
    ids |= {f"explain.{name}" for name in ("ignores-ejections", "is-sampled")}
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
        missing = sorted(entry for entry in ids if not written.get(entry))
        assert not missing, f"{language} lacks {missing}"
        unused = [entry for entry in written if entry not in ids]
        unused = [entry for entry in unused if not entry.startswith(prefixes)]
        assert not unused, f"{language} has unused {unused}"
        for entry, text in written.items():
            wanted = fields_by_id.setdefault(entry, _fields(text))
            assert _fields(text) == wanted, (
                f"{language} {entry}: fields differ from {wanted}"
            )
        assert len(vocabulary(language).spelling_by_word) == len(Word)


@when('the folder "{folder}" is submitted in "{language}"')
def submit_folder(context, folder, language):
    context.folder, context.language = EXAMPLES / folder, language
    context.operations = make_operations(MemoryStore())
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
    data_centres = [
        name for names in context.places["regions"].values() for name in names
    ]
    services = context.places["services"].values()
    assert len(data_centres) == len(set(data_centres)) == 6
    assert all(set(spec["endpoints"]) <= set(data_centres) for spec in services)
    assert sum(sum(spec["endpoints"].values()) for spec in services) == count


@then("each text translated to any language translates back to the original")
def check_text_round_trips(context):
    source_words = vocabulary(context.language)
    templates = {}
    for item in context.items:
        parsed = succeeded(
            parse(item.kind, item.text, source_words, file="", templates=templates)
        )
        if item.kind is ItemKind.TEMPLATE:
            templates[item.name] = parsed.document
        for language in messages.LANGUAGES:
            view = succeeded(
                context.operations.show(item.kind, item.name, language=language)
            )
            parsed_view = succeeded(
                parse(
                    item.kind,
                    view.text,
                    vocabulary(language),
                    file="",
                    templates=templates,
                )
            )
            assert parsed_view.document == parsed.document
            assert (
                translate(view.text, parsed_view, source_words, templates=templates)
                == item.text
            )


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
    loaded = {name.partition(".")[0] for name in context.modules}
    assert not loaded & {"ruamel", "babel", "yaml"}
    assert "comfreytray.configuration.yamlreader" not in context.modules
