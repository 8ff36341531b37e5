"""Read a folder of templates and customers to be accepted as one change."""

from pathlib import Path

from comfreytray.common.errors import Failure
from comfreytray.configuration.changes import ItemText
from comfreytray.configuration.languages import vocabulary
from comfreytray.configuration.rejections import Cause
from comfreytray.configuration.templates import content_failure, identify
from comfreytray.configuration.yamltext import MAX_TEXT_BYTES, Problem

ITEM_PATTERNS = ("templates/*.yaml", "customers/*.yaml")


def read_folder(directory: Path, *, language: str) -> list[ItemText] | Failure:
    """Read the YAML files under `templates`, then those under `customers`, sorted."""
    items: list[ItemText] = []
    for pattern in ITEM_PATTERNS:
        for path in sorted(directory.glob(pattern)):
            item = _read_file(path, language)
            if isinstance(item, Failure):
                return item
            items.append(item)
    if not items:
        problem = Problem(cause=Cause.FOLDER_EMPTY)
        return content_failure(
            problem, ", ".join(ITEM_PATTERNS), language, str(directory)
        )
    return items


def _read_file(path: Path, language: str) -> ItemText | Failure:
    with path.open("rb") as file:
        data = file.read(MAX_TEXT_BYTES + 1)
    try:
        text = data.decode()
    except UnicodeDecodeError:
        problem = Problem(cause=Cause.YAML_CHARACTER)
        return content_failure(problem, "", language, str(path))
    found = identify(text, vocabulary(language))
    if isinstance(found, Problem):
        return content_failure(found, "", language, str(path))
    kind, name = found
    return ItemText(kind=kind, name=name, text=text, language=language, file=str(path))
