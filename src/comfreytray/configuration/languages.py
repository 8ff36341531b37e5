"""Spellings of keywords, numbers and units in each language of operators."""

import difflib
import re
import unicodedata
from collections.abc import Iterable
from enum import Enum
from functools import cache

from attrs import field, frozen

from comfreytray.common import messages

ALTERNATIVE_SEPARATOR = "|"
NEAREST_CUTOFF = 0.5  # similarity ratio of difflib, from 0 to 1
_NUMBER = re.compile(r"\d{1,9}(?:[.,]\d{1,6})?")
_DURATION = re.compile(r"(?P<number>[\d.,]++)\s*+(?P<unit>\D*+)")
# "1.500" may mean 1500 or 1.5 where the decimal mark is a comma.
_GROUPED_THOUSANDS = re.compile(r"\d{1,3}[.,]\d{3}")


class Word(Enum):
    """The keywords of the format, independent of language.

    Values are parts of message ids (`word.…`) in the catalogues.
    """

    TEMPLATE = "template"
    CUSTOMER = "customer"
    DESCRIPTION = "description"
    PARAMETERS = "parameters"
    TYPE = "type"
    DEFAULT = "default"
    ROUTES = "routes"
    NAME = "name"
    PATH = "path"
    METHODS = "methods"
    SERVICE = "service"
    IDEMPOTENT = "idempotent"
    TIMEOUT = "timeout"
    SHARE = "share"
    HOSTS = "hosts"
    YES = "yes"
    NO = "no"
    TYPE_TEXT = "type-text"
    TYPE_DURATION = "type-duration"
    TYPE_SHARE = "type-share"
    TYPE_BOOLEAN = "type-boolean"
    MILLISECOND = "millisecond"
    SECOND = "second"
    MINUTE = "minute"


SECONDS_BY_UNIT = {Word.MILLISECOND: 0.001, Word.SECOND: 1.0, Word.MINUTE: 60.0}
_MS_PER_SECOND = 1000


def normalise(text: str) -> str:
    """Return a text in Unicode normalization form C (NFC)."""
    return unicodedata.normalize("NFC", text)


def _fold(spelling: str) -> str:
    """Normalise a spelling for comparison regardless of case and white space."""
    return " ".join(normalise(spelling).casefold().split())


@frozen(kw_only=True)
class Vocabulary:
    """The spellings of one language, and its formats of numbers and units."""

    language: str
    spelling_by_word: dict[Word, str] = field(factory=dict)
    word_by_spelling: dict[str, Word] = field(factory=dict)
    """Keys are `<word>:<folded spelling>`: one spelling may mean several words."""

    def spelling(self, word: Word) -> str:
        """Return the spelling used when writing a word."""
        return self.spelling_by_word[word]

    def word(self, spelling: str, allowed: Iterable[Word]) -> Word | None:
        """Return the allowed word with a spelling, if any."""
        folded = _fold(spelling)
        for word in allowed:
            if self.word_by_spelling.get(f"{word.value}:{folded}") is word:
                return word
        return None

    def nearest(self, spelling: str, allowed: Iterable[Word]) -> str:
        """Return the spelling to suggest instead of an unknown one.

        It is a word's translation if another language has the spelling, else the
        most similar spelling, else all of them.
        """
        words = list(allowed)
        for other in messages.LANGUAGES:
            meant = vocabulary(other).word(spelling, words)
            if meant is not None:
                return self.spelling(meant)
        return nearest(spelling, [self.spelling(word) for word in words])

    def parse_number(self, text: str) -> float | None:
        """Parse a number with the language's decimal mark; None if it is not one."""
        text = text.strip()
        if _NUMBER.fullmatch(text) is None:
            return None
        if self.language == "en":
            return None if "," in text else float(text)
        if "." in text and _GROUPED_THOUSANDS.fullmatch(text):
            return None
        return float(text.replace(",", "."))

    def format_number(self, number: float) -> str:
        """Format a number with the language's decimal mark."""
        text = f"{number:.6f}".rstrip("0").rstrip(".")
        return text if self.language == "en" else text.replace(".", ",")

    def parse_duration(self, text: str) -> float | None:
        """Parse a duration to seconds; None if it is not one."""
        match = _DURATION.fullmatch(text.strip())
        if match is None:
            return None
        unit = self.word(match["unit"], SECONDS_BY_UNIT)
        number = self.parse_number(match["number"])
        if unit is None or number is None:
            return None
        return round(number * SECONDS_BY_UNIT[unit], 6)

    def format_duration(self, seconds: float) -> str:
        """Format a duration in seconds, or in milliseconds if it is below 1 s."""
        if seconds < 1:
            number = self.format_number(seconds * _MS_PER_SECOND)
            return f"{number} {self.spelling(Word.MILLISECOND)}"
        return f"{self.format_number(seconds)} {self.spelling(Word.SECOND)}"

    def parse_share(self, text: str) -> float | None:
        """Parse a percentage to a share (100 % is 1.0); None if it is not one."""
        stripped = text.strip()
        if not stripped.endswith("%"):
            return None
        number = self.parse_number(stripped[:-1].rstrip())
        return None if number is None else round(number / 100, 8)

    def format_share(self, share: float) -> str:
        """Format a share (1.0 is 100 %) as a percentage."""
        gap = " " if self.language == "fr" else ""
        return f"{self.format_number(share * 100)}{gap}%"

    def parse_boolean(self, text: str) -> bool | None:
        """Parse yes or no; None if it is neither."""
        word = self.word(text, (Word.YES, Word.NO))
        return None if word is None else word is Word.YES

    def format_boolean(self, value: bool) -> str:
        """Format a boolean as yes or no."""
        return self.spelling(Word.YES if value else Word.NO)


def nearest(spelling: str, allowed: Iterable[str]) -> str:
    """Return the most similar allowed spelling, or all of them, comma-separated."""
    choices = list(allowed)
    by_folded = {_fold(one): one for one in choices}
    close = difflib.get_close_matches(
        _fold(spelling), list(by_folded), n=1, cutoff=NEAREST_CUTOFF
    )
    return by_folded[close[0]] if close else ", ".join(choices)


@cache
def vocabulary(language: str) -> Vocabulary:
    """Load the vocabulary of a language from its catalogue."""
    spelling_by_word: dict[Word, str] = {}
    word_by_spelling: dict[str, Word] = {}
    for word in Word:
        entry = messages.text(f"word.{word.value}", language=language)
        alternatives = [one.strip() for one in entry.split(ALTERNATIVE_SEPARATOR)]
        spelling_by_word[word] = alternatives[0]
        for alternative in alternatives:
            word_by_spelling[f"{word.value}:{_fold(alternative)}"] = word
    return Vocabulary(
        language=language,
        spelling_by_word=spelling_by_word,
        word_by_spelling=word_by_spelling,
    )
