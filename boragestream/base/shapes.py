"""Checks data from outside against a frozen data class and builds it.

Every fault is reported at once, each with its place. The JSON schema is derived
from the data class, so that there is one source of truth. Rules that relate one
part of the data to another are left to the owner of the data class.
"""

import functools
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

from boragestream.base.outcomes import Failure

if TYPE_CHECKING:
    import jsonschema

__all__ = ["Fault", "build", "json_schema"]

Shape = TypeVar("Shape")

# Only the rule is told and never the value, which can be a key that somebody forgot
# to hash.
REASONS = {
    "type": "must be of type {}",
    "anyOf": "is none of the types that are allowed",
    "enum": "must be one of {}",
    "pattern": "must match {}",
    "minimum": "must be at least {}",
    "exclusiveMinimum": "must be more than {}",
    "maximum": "must be at most {}",
    "minLength": "must have at least {} characters",
    "maxLength": "must have at most {} characters",
    "minItems": "must have at least {} items",
    "maxItems": "must have at most {} items",
    "required": "{}",
    "additionalProperties": "{}",
}
NAMING_RULES = ("required", "additionalProperties")


@dataclass(frozen=True, slots=True)
class Fault(Failure):
    """One fault in data from outside.

    :ivar place: where it is, for example ``pipelines[2].stages[0].service``.
    :ivar reason: what is wrong, for people.
    """

    place: str
    reason: str


@functools.cache
def json_schema(shape: type) -> dict[str, Any]:
    """Return the JSON schema of a data class; unknown fields are not allowed."""
    schema = msgspec.json.schema(shape)
    for part in schema["$defs"].values():
        if part.get("type") == "object" and "properties" in part:
            part["additionalProperties"] = False
    return schema


def build(data: object, shape: type[Shape]) -> tuple[Shape | None, list[Fault]]:
    """Check data against a data class and build it.

    :param data: decoded JSON or TOML.
    :param shape: the data class.
    :returns: the record and no faults, or None and every fault found.
    """
    # Loading it takes a sixth of an entry's start, and an entry that forwards calls
    # checks nothing with it.
    import jsonschema

    validator = jsonschema.Draft202012Validator(json_schema(shape))
    errors = sorted(validator.iter_errors(data), key=lambda e: list(map(str, e.path)))
    if errors:
        return None, [Fault(_place(e.absolute_path), _reason(e)) for e in errors]
    try:
        return msgspec.convert(data, shape), []
    except msgspec.ValidationError as error:
        return None, [Fault("", str(error))]


def _reason(error: "jsonschema.ValidationError") -> str:
    """Return what rule is broken; of the data it names fields at most."""
    rule = str(error.validator)
    known = error.message if rule in NAMING_RULES else error.validator_value
    return REASONS.get(rule, "breaks the rule " + rule).format(known)


def _place(path: Any) -> str:
    place = ""
    for part in path:
        place += f"[{part}]" if isinstance(part, int) else f".{part}"
    return place.lstrip(".")
