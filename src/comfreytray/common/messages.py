"""User-visible texts, from the gettext catalogue of each language."""

import gettext
import re
from collections import defaultdict
from functools import cache
from pathlib import Path

from comfreytray.common.errors import Failure

DOMAIN = "comfreytray"
LANGUAGES = ("vi", "fr", "en")
DEFAULT_LANGUAGE = "en"
LOCALE_DIRECTORY = Path(__file__).parent.parent / "locale"
KIND_PREFIX = "kind."


@cache
def catalogue(language: str) -> gettext.NullTranslations:
    """Load a language's catalogue; an unknown language falls back to English."""
    known = language if language in LANGUAGES else DEFAULT_LANGUAGE
    return gettext.translation(DOMAIN, LOCALE_DIRECTORY, languages=[known])


def accepted_language(header: str) -> str:
    """Return the first language of an Accept-Language header that has a catalogue."""
    for choice in header.split(","):
        language = choice.partition(";")[0].strip().lower()[:2]
        if language in LANGUAGES:
            return language
    return DEFAULT_LANGUAGE


def message_id(failure: Failure) -> str:
    """Return the catalogue key of a failure."""
    return KIND_PREFIX + failure.kind.value


def text(subject: Failure | str, *, language: str, **fields: object) -> str:
    """Render a failure or a catalogue entry; a missing field is shown as a dash."""
    values: dict[str, object] = defaultdict(lambda: "–")
    if isinstance(subject, Failure):
        values.update(subject.fields)
        subject = message_id(subject)
    values.update(fields)
    filled = catalogue(language).gettext(subject).format_map(values)
    return re.sub(r" {2,}", " ", filled)
