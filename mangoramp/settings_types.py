"""Checks values against frozen data classes and names every mistake at once."""

from __future__ import annotations

import difflib
import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass, fields, is_dataclass
from functools import singledispatch
from typing import Any, TypeVar, get_args

import cattrs
import yaml
from cattrs.errors import (
    ClassValidationError,
    ForbiddenExtraKeysError,
    IterableValidationError,
)
from cattrs.gen import make_dict_structure_fn
from returns.result import Failure, Result, Success

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Range:
    """Numbers from ``low`` to ``high``, both allowed."""

    low: float
    high: float
    unit: str


@dataclass(frozen=True, slots=True)
class Pattern:
    """Texts that match a regular expression as a whole."""

    regex: str
    text: str


@dataclass(frozen=True, slots=True)
class Choice:
    """One of some texts."""

    values: tuple[str, ...]


class UniqueKeysLoader(yaml.SafeLoader):
    """Reads YAML and refuses a key that stands twice in one place."""

    def construct_mapping(
        self, node: yaml.MappingNode, deep: bool = False
    ) -> dict[Any, Any]:
        """Build a mapping of keys that are all different."""
        names = [self.construct_object(key, deep=True) for key, _ in node.value]
        for name in names:
            if names.count(name) > 1:
                problem = f"the key {name!r} stands {names.count(name)} times"
                raise yaml.MarkedYAMLError(
                    problem=problem, problem_mark=node.start_mark
                )
        return super().construct_mapping(node, deep)


def structure(raw: Any, type_: type[T]) -> Result[T, tuple[str, ...]]:
    """Build a frozen data class.

    Args:
        raw: What a file holds.
        type_: The data class.

    Returns:
        The object, or every mistake with its path, what was found and what is allowed.
    """
    try:
        return Success(_converter().structure(raw, type_))
    except (cattrs.BaseValidationError, ValueError) as exc:
        return Failure(tuple(_mistakes(exc, "", type_)))


def allowed(type_: Any) -> str:
    """What a type allows, for people."""
    if _is_annotated(type_):
        base, *rules = get_args(type_)
        return "; ".join(_rule_text(rule) for rule in rules) or allowed(base)
    if is_dataclass(type_):
        return "a mapping with " + ", ".join(f.name for f in fields(type_))
    return _TEXTS.get(type_, str(type_))


_TEXTS: dict[Any, str] = {
    int: "a whole number",
    float: "a number",
    str: "a text",
    bool: "true or false",
}


@singledispatch
def _rule_text(rule: object) -> str:
    raise TypeError(rule)


@singledispatch
def _fits(rule: object, value: Any) -> bool:
    raise TypeError(rule)


@_rule_text.register
def _(rule: Range) -> str:
    return f"{rule.low:.10g} to {rule.high:.10g} ({rule.unit})"


@_rule_text.register
def _(rule: Pattern) -> str:
    return rule.text


@_rule_text.register
def _(rule: Choice) -> str:
    return "one of " + ", ".join(rule.values)


@_fits.register
def _(rule: Range, value: Any) -> bool:
    return bool(rule.low <= value <= rule.high)


@_fits.register
def _(rule: Pattern, value: Any) -> bool:
    return re.fullmatch(rule.regex, value) is not None


@_fits.register
def _(rule: Choice, value: Any) -> bool:
    return str(value) in rule.values


def _converter() -> cattrs.Converter:
    conv = cattrs.Converter(forbid_extra_keys=True)
    for type_, accepted in ((int, int), (float, (int, float)), (str, str)):
        conv.register_structure_hook(type_, _plain(type_, accepted))
    conv.register_structure_hook(bool, _plain(bool, bool))
    conv.register_structure_hook_factory(is_dataclass, lambda t: _mapping(conv, t))
    conv.register_structure_hook_factory(_is_annotated, lambda t: _annotated(conv, t))
    return conv


def _is_annotated(type_: Any) -> bool:
    return hasattr(type_, "__metadata__")


def _plain(type_: type[Any], accepted: Any) -> Callable[[Any, Any], Any]:
    def hook(value: Any, _: Any) -> Any:
        if not isinstance(value, accepted):
            raise ValueError(value)
        if isinstance(value, bool) and type_ is not bool:
            raise ValueError(value)
        return type_(value)

    return hook


def _annotated(conv: cattrs.Converter, type_: Any) -> Callable[[Any, Any], Any]:
    base, *rules = get_args(type_)

    def hook(value: Any, _: Any) -> Any:
        built = conv.structure(value, base)
        if not all(_fits(rule, built) for rule in rules):
            raise ValueError(value)
        return built

    return hook


def _mapping(conv: cattrs.Converter, type_: Any) -> Callable[[Any, Any], Any]:
    build = make_dict_structure_fn(type_, conv, _cattrs_forbid_extra_keys=True)

    def hook(value: Any, _: Any) -> Any:
        if not isinstance(value, dict):
            raise ValueError(value)
        return build(value, type_)

    return hook


def _mistakes(exc: BaseException, path: str, type_: Any) -> Iterator[str]:
    if isinstance(exc, ClassValidationError | IterableValidationError):
        noted, bare = exc.group_exceptions()
        for inner, note in noted:
            place = getattr(note, "name", None) or f"[{note.index}]"
            yield from _mistakes(inner, _join(path, place), note.type)
        for inner in bare:
            yield from _mistakes(inner, path, type_)
    elif isinstance(exc, ForbiddenExtraKeysError):
        yield from _unknown(exc, path)
    elif isinstance(exc, KeyError):
        yield f"{path}: found nothing, allowed: {allowed(type_)}"
    else:
        found = exc.args[0] if exc.args else None
        yield f"{path or 'settings'}: found {found!r}, allowed: {allowed(type_)}"


def _unknown(exc: ForbiddenExtraKeysError, path: str) -> Iterator[str]:
    names = [field.name for field in fields(exc.cl)]
    for key in sorted(exc.extra_fields, key=str):
        near = difflib.get_close_matches(str(key), names, n=1)
        hint = f"; nearest: {near[0]}" if near else ""
        known = ", ".join(names)
        yield f"{_join(path, str(key))}: unknown key, allowed: {known}{hint}"


def _join(path: str, place: str) -> str:
    return f"{path}.{place}" if path else place
