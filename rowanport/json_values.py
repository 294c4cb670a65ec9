"""Reads JSON that other processes wrote, which may be anything."""

import json
import math


def load_json(data):
    """Return the value of a JSON text.

    Python alone takes numbers that are none, and gives up on deep nesting with
    an error of its own.

    :param data: str or bytes
    :raises ValueError: it is not JSON, holds a number that is none or beyond
        the range of a float, or is nested too deeply
    """
    try:
        return json.loads(
            data, parse_constant=_refuse, parse_float=_read_float
        )
    except RecursionError:
        raise ValueError("JSON is nested too deeply") from None


def is_number(value):
    """Return whether a JSON value is a number that a float can hold."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return False
    try:
        return math.isfinite(value)
    except OverflowError:
        return False


def _refuse(name):
    raise ValueError(f"{name} is no JSON number")


def _read_float(text):
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f"{text:.20} is out of range")
    return value
