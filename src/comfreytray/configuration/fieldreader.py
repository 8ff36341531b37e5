"""Read and check the values of a template or customer in YAML nodes."""

import re
import unicodedata
from collections.abc import Collection
from typing import NoReturn

from attrs import frozen

from comfreytray.common import messages
from comfreytray.configuration.compiler import MAX_TIMEOUT_S
from comfreytray.configuration.documents import (
    REFERENCE,
    ParameterType,
    Setting,
    Value,
)
from comfreytray.configuration.languages import (
    Vocabulary,
    Word,
    nearest,
    normalise,
    vocabulary,
)
from comfreytray.configuration.rejections import Cause
from comfreytray.configuration.yamltext import (
    Mapping,
    Mark,
    Node,
    Problem,
    Scalar,
    Sequence,
)

MAX_PARAMETERS = 100
MAX_VALUE_LENGTH = 2000  # characters
# Up to 64 letters, digits, "_" and "-", with a letter or digit at both ends.
NAME = re.compile(r"[^\W_](?:[\w-]{0,62}[^\W_])?")
# As above, with spaces inside.
PARAMETER_NAME = re.compile(r"[^\W_](?:[\w -]{0,62}[^\W_])?")
# Unicode categories of controls, surrogates, and line and paragraph separators.
_REFUSED_CATEGORIES = frozenset({"Cc", "Cs", "Zl", "Zp"})
_SAMPLE_TEXT = "x"  # replaces references, so that the text around them can be checked
TYPE_BY_WORD = {
    Word.TYPE_TEXT: ParameterType.TEXT,
    Word.TYPE_DURATION: ParameterType.DURATION,
    Word.TYPE_SHARE: ParameterType.SHARE,
    Word.TYPE_BOOLEAN: ParameterType.BOOLEAN,
}
WORD_BY_TYPE = {kind: word for word, kind in TYPE_BY_WORD.items()}


@frozen(kw_only=True)
class Token:
    """A scalar whose spelling depends on the language of the text."""

    scalar: Scalar
    meaning: Word | ParameterType
    """The keyword, or the type of the value."""
    value: Value | None = None
    """The parsed value; None for a keyword."""


class ProblemError(Exception):
    """Raised by the readers with a problem and what to write instead.

    `parse` catches it and returns a `Failure`.
    """

    def __init__(self, problem: Problem, instead: str = "") -> None:
        super().__init__(problem.cause.value)
        self.problem = problem
        self.instead = instead


CAUSE_BY_TYPE = {
    ParameterType.DURATION: Cause.NEEDS_DURATION,
    ParameterType.SHARE: Cause.NEEDS_SHARE,
    ParameterType.BOOLEAN: Cause.NEEDS_BOOLEAN,
}
EXAMPLE_BY_TYPE: dict[ParameterType, Value] = {
    ParameterType.TEXT: "x",
    ParameterType.DURATION: 2.5,
    ParameterType.SHARE: 0.5,
    ParameterType.BOOLEAN: True,
}


def is_empty(node: Node) -> bool:
    """Whether a key has no value."""
    return isinstance(node, Scalar) and not node.value and not node.quoted


def parse_value(words: Vocabulary, text: str, type_: ParameterType) -> Value | None:
    """Parse a value that is not text; return None if it is not of the type."""
    if type_ is ParameterType.DURATION:
        return words.parse_duration(text)
    if type_ is ParameterType.SHARE:
        return words.parse_share(text)
    return words.parse_boolean(text)


def format_value(words: Vocabulary, value: Value, type_: ParameterType) -> str:
    """Format a value in the language of a vocabulary."""
    if type_ is ParameterType.DURATION:
        return words.format_duration(float(value))
    if type_ is ParameterType.SHARE:
        return words.format_share(float(value))
    if type_ is ParameterType.BOOLEAN:
        return words.format_boolean(bool(value))
    return str(value)


class FieldReader:
    """Read the nodes of one text; collect its tokens and the marks of its parts.

    Every method raises `ProblemError` for content that is not allowed.
    """

    def __init__(self, *, vocabulary: Vocabulary) -> None:
        self.vocabulary = vocabulary
        self.tokens: list[Token] = []
        self.mark_by_part: dict[str, Mark] = {}

    def refuse(
        self, cause: Cause, mark: Mark, *, instead: str = "", **fields: str
    ) -> NoReturn:
        """Raise a `ProblemError`; `fields` fill the text of the cause."""
        raise ProblemError(Problem(cause=cause, mark=mark, fields=fields), instead)

    def read_fields(
        self, node: Node, allowed: Collection[Word], part: str
    ) -> dict[Word, Node]:
        """Return a mapping's values by keyword; refuse unknown and repeated keys.

        `part` is the prefix of the names under which marks are recorded.
        """
        if not isinstance(node, Mapping):
            choices = ", ".join(self.vocabulary.spelling(word) for word in allowed)
            self.refuse(Cause.NEEDS_MAPPING, node.mark, instead=choices)
        by_word: dict[Word, Node] = {}
        for key, value in node.entries:
            word = self.vocabulary.word(key.value, allowed)
            if word is None:
                instead = self.vocabulary.nearest(key.value, allowed)
                self.refuse(
                    Cause.UNKNOWN_KEYWORD, key.mark, instead=instead, keyword=key.value
                )
            if word in by_word:
                self.refuse(Cause.KEYWORD_TWICE, key.mark, keyword=key.value)
            by_word[word] = value
            self.tokens.append(Token(scalar=key, meaning=word))
            self.mark_by_part[part + word.value] = value.mark
        return by_word

    def require(self, by_word: dict[Word, Node], word: Word, mark: Mark) -> Node:
        """Return the value of a keyword; refuse its absence."""
        node = by_word.get(word)
        if node is None:
            spelling = self.vocabulary.spelling(word)
            self.refuse(
                Cause.KEYWORD_MISSING, mark, instead=f"{spelling}: …", keyword=spelling
            )
        return node

    def read_text(self, node: Node) -> str:
        """Return a scalar as normalised text; refuse control characters."""
        if not isinstance(node, Scalar):
            self.refuse(Cause.NEEDS_TEXT, node.mark)
        if len(node.value) > MAX_VALUE_LENGTH:
            limit = str(MAX_VALUE_LENGTH)
            self.refuse(Cause.VALUE_TOO_LONG, node.mark, limit=limit)
        text = normalise(node.value.strip())
        if any(
            unicodedata.category(one) in _REFUSED_CATEGORIES
            for one in text
            if one != "\n"
        ):
            self.refuse(Cause.YAML_CHARACTER, node.mark)
        return text

    def read_name(self, by_word: dict[Word, Node], word: Word, mark: Mark) -> str:
        """Return the name in the value of a required keyword."""
        node = self.require(by_word, word, mark)
        return self.read_name_matching(node, NAME)

    def read_name_matching(self, node: Node, pattern: re.Pattern[str]) -> str:
        """Return a name; refuse one that does not match the pattern."""
        name = self.read_text(node)
        if pattern.fullmatch(name) is None:
            self.refuse(Cause.BAD_NAME, node.mark, name=name)
        return name

    def read_list(
        self, by_word: dict[Word, Node], word: Word, mark: Mark, limit: int
    ) -> tuple[Node, ...]:
        """Return the items of a required list; a single value is a list of one."""
        node = self.require(by_word, word, mark)
        items = node.items if isinstance(node, Sequence) else (node,)
        if not 0 < len(items) <= limit:
            self.refuse(Cause.LIST_SIZE, node.mark, limit=str(limit))
        return items

    def read_named_entries(self, node: Node) -> list[tuple[str, Scalar, Node]]:
        """Return name, key and value of each entry of a mapping with free names."""
        if not isinstance(node, Mapping):
            self.refuse(Cause.NEEDS_MAPPING, node.mark)
        if len(node.entries) > MAX_PARAMETERS:
            self.refuse(Cause.LIST_SIZE, node.mark, limit=str(MAX_PARAMETERS))
        named: dict[str, tuple[str, Scalar, Node]] = {}
        for key, value in node.entries:
            name = self.read_name_matching(key, PARAMETER_NAME)
            if name in named:
                self.refuse(Cause.NAME_TWICE, key.mark, name=name)
            named[name] = (name, key, value)
            self.mark_by_part[f"parameters/{name}"] = key.mark
        return list(named.values())

    def read_keyword(self, node: Node, allowed: Collection[Word]) -> Word:
        """Return the keyword that is written as a value."""
        spelling = self.read_text(node)
        word = self.vocabulary.word(spelling, allowed)
        if word is None:
            instead = self.vocabulary.nearest(spelling, allowed)
            self.refuse(
                Cause.UNKNOWN_KEYWORD, node.mark, instead=instead, keyword=spelling
            )
        assert isinstance(node, Scalar)
        self.require_one_line(node)
        self.tokens.append(Token(scalar=node, meaning=word))
        return word

    def require_one_line(self, node: Scalar) -> None:
        """Refuse a block scalar (`|` or `>`)."""
        if node.block:
            self.refuse(Cause.NEEDS_ONE_LINE, node.mark)

    def read_value(self, node: Node, type_: ParameterType) -> Value:
        """Return a value of a type, with its range checked."""
        text = self.read_text(node)
        assert isinstance(node, Scalar)
        if type_ is ParameterType.TEXT:
            return text
        self.require_one_line(node)
        value = parse_value(self.vocabulary, text, type_)
        if value is None:
            instead = self.suggest_value(text, type_)
            cause = CAUSE_BY_TYPE[type_]
            self.refuse(cause, node.mark, instead=instead, value=text)
        self.check_range(node, value, type_)
        self.tokens.append(Token(scalar=node, meaning=type_, value=value))
        return value

    def suggest_value(self, text: str, type_: ParameterType) -> str:
        """Return the value as any language parses it, or an example, for a hint."""
        meant = [
            parse_value(vocabulary(language), text, type_)
            for language in messages.LANGUAGES
        ]
        known = [value for value in meant if value is not None]
        value = known[0] if known else EXAMPLE_BY_TYPE[type_]
        return format_value(self.vocabulary, value, type_)

    def check_range(self, node: Scalar, value: Value, type_: ParameterType) -> None:
        """Refuse a duration or share outside its limits."""
        if type_ is ParameterType.DURATION and not 0 < float(value) <= MAX_TIMEOUT_S:
            limit = self.vocabulary.format_duration(MAX_TIMEOUT_S)
            self.refuse(Cause.DURATION_RANGE, node.mark, limit=limit)
        if type_ is ParameterType.SHARE and not 0 < float(value) <= 1:
            limit = self.vocabulary.format_share(1.0)
            self.refuse(Cause.SHARE_RANGE, node.mark, limit=limit)

    def read_setting(
        self,
        node: Node | None,
        type_: ParameterType,
        default: Value,
        type_by_name: dict[str, ParameterType],
    ) -> Setting:
        """Return a value, a reference to a parameter, or the default if absent."""
        if node is None:
            return Setting(value=default)
        text = self.read_text(node)
        match = REFERENCE.fullmatch(text)
        if match is None:
            return Setting(value=self.read_value(node, type_))
        name = normalise(match[1])
        self.check_reference(name, node.mark, type_, type_by_name)
        return Setting(parameter=name)

    def check_reference(
        self,
        name: str,
        mark: Mark,
        type_: ParameterType,
        type_by_name: dict[str, ParameterType],
    ) -> None:
        """Refuse a reference to an undeclared parameter or one of another type."""
        if name not in type_by_name:
            self.refuse(
                Cause.UNKNOWN_REFERENCE,
                mark,
                instead=", ".join(f"$({one})" for one in [nearest(name, type_by_name)]),
                parameter=name,
            )
        if type_by_name[name] is not type_:
            wanted = self.vocabulary.spelling(WORD_BY_TYPE[type_])
            self.refuse(Cause.WRONG_TYPE, mark, parameter=name, type=wanted)

    def read_text_with_references(
        self, node: Node, type_by_name: dict[str, ParameterType]
    ) -> tuple[str, str]:
        """Return a text, and the text with sample values for its references."""
        text = self.read_text(node)
        for name in REFERENCE.findall(text):
            self.check_reference(name, node.mark, ParameterType.TEXT, type_by_name)
        return text, REFERENCE.sub(_SAMPLE_TEXT, text)
