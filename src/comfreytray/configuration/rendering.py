"""Translate an operator's text, or render a document as a new text."""

import json

from comfreytray.configuration.documents import (
    Customer,
    Document,
    ParameterType,
    RouteTemplate,
    Setting,
    Template,
    Value,
    kind_of,
)
from comfreytray.configuration.fieldreader import WORD_BY_TYPE, Token, format_value
from comfreytray.configuration.languages import Vocabulary, Word
from comfreytray.configuration.templates import Parsed, parse
from comfreytray.configuration.yamltext import normalise_text


def translate(
    text: str,
    parsed: Parsed,
    target: Vocabulary,
    *,
    templates: dict[str, Template],
) -> str:
    """Translate a text's keywords, units and numbers to another language.

    Everything else, comments and layout included, stays as it is. A text whose
    translation does not parse to the same document is rendered anew, without comments.
    """
    translated = normalise_text(text)
    # From the end, so that the positions of earlier tokens stay valid.
    for token in sorted(parsed.tokens, key=lambda one: one.scalar.start, reverse=True):
        scalar = token.scalar
        spelled = _spell(token, target)
        translated = translated[: scalar.start] + spelled + translated[scalar.end :]
    kind = kind_of(parsed.document)
    again = parse(kind, translated, target, file="", templates=templates)
    if isinstance(again, Parsed) and again.document == parsed.document:
        return translated
    return render(parsed.document, target)


def _spell(token: Token, target: Vocabulary) -> str:
    if isinstance(token.meaning, Word):
        spelled = target.spelling(token.meaning)
    else:
        assert token.value is not None
        spelled = format_value(target, token.value, token.meaning)
    # Inside a flow collection, an unquoted comma would end the value.
    if token.scalar.quoted or (token.scalar.in_flow and "," in spelled):
        return json.dumps(spelled, ensure_ascii=False)
    return spelled


def render(document: Document, target: Vocabulary) -> str:
    """Render a document as YAML text in a language."""
    lines = (
        _template_lines(document, target)
        if isinstance(document, Template)
        else _customer_lines(document, target)
    )
    return "\n".join(lines) + "\n"


def _quote(text: str) -> str:
    return json.dumps(text, ensure_ascii=False)


def _template_lines(template: Template, target: Vocabulary) -> list[str]:
    lines = [f"{target.spelling(Word.TEMPLATE)}: {_quote(template.name)}"]
    if template.description:
        description = _quote(template.description)
        lines.append(f"{target.spelling(Word.DESCRIPTION)}: {description}")
    if template.parameters:
        lines.append(f"{target.spelling(Word.PARAMETERS)}:")
    for parameter in template.parameters:
        lines.append(f"  {_quote(parameter.name)}:")
        type_ = target.spelling(WORD_BY_TYPE[parameter.type])
        lines.append(f"    {target.spelling(Word.TYPE)}: {type_}")
        if parameter.default is not None:
            value = _value(target, parameter.default, parameter.type)
            lines.append(f"    {target.spelling(Word.DEFAULT)}: {value}")
    lines.append(f"{target.spelling(Word.ROUTES)}:")
    for route in template.routes:
        lines.extend(_route_lines(route, target))
    return lines


def _route_lines(route: RouteTemplate, target: Vocabulary) -> list[str]:
    rows = [
        (Word.NAME, _quote(route.name)),
        (Word.PATH, _quote(route.path)),
        (Word.METHODS, f"[{', '.join(route.methods)}]"),
        (Word.SERVICE, _quote(route.service)),
        (Word.IDEMPOTENT, _setting(target, route.idempotent, ParameterType.BOOLEAN)),
        (Word.TIMEOUT, _setting(target, route.timeout_s, ParameterType.DURATION)),
        (Word.SHARE, _setting(target, route.share, ParameterType.SHARE)),
    ]
    lines = [f"    {target.spelling(word)}: {value}" for word, value in rows]
    lines[0] = "  - " + lines[0].lstrip()
    return lines


def _setting(target: Vocabulary, setting: Setting, type_: ParameterType) -> str:
    if setting.parameter:
        return f"$({setting.parameter})"
    assert setting.value is not None
    return _value(target, setting.value, type_)


def _value(target: Vocabulary, value: Value, type_: ParameterType) -> str:
    text = format_value(target, value, type_)
    return _quote(text) if type_ is ParameterType.TEXT else text


def _customer_lines(customer: Customer, target: Vocabulary) -> list[str]:
    lines = [
        f"{target.spelling(Word.CUSTOMER)}: {_quote(customer.name)}",
        f"{target.spelling(Word.TEMPLATE)}: {_quote(customer.template)}",
        f"{target.spelling(Word.HOSTS)}: [{', '.join(customer.hosts)}]",
    ]
    if customer.arguments:
        lines.append(f"{target.spelling(Word.PARAMETERS)}:")
    for argument in customer.arguments:
        value = _value(target, argument.value, argument.type)
        lines.append(f"  {_quote(argument.name)}: {value}")
    return lines
