"""What the generated messages and settings share."""

import math

import msgpack

from ..errors import MessageError

# Checks of single values


def _check(value, types, name):
    if isinstance(value, bool) and bool not in types:
        raise MessageError(f"expected {name}, got a bool")
    if not isinstance(value, types):
        raise MessageError(f"expected {name}, got {type(value).__name__}")
    return value


def as_str(value):
    """Return the value if it is text, else raise MessageError."""
    return _check(value, (str,), "str")


def as_int(value):
    """Return the value if it is a whole number, else raise MessageError."""
    return _check(value, (int,), "int")


def as_float(value):
    """Return the value as a float, else raise MessageError.

    A value that compares with nothing would pass each bound; infinity stands
    for times that never come.
    """
    number = float(_check(value, (int, float), "float"))
    if math.isnan(number):
        raise MessageError("expected float, got one that is no number")
    return number


def as_bool(value):
    """Return the value if it is a bool, else raise MessageError."""
    return _check(value, (bool,), "bool")


def as_bytes(value):
    """Return the value if it is bytes, else raise MessageError."""
    return _check(value, (bytes,), "bytes")


def as_list(value, read):
    """Return a list with each item read by ``read``."""
    return [read(item) for item in _check(value, (list,), "list")]


def as_map(value, read):
    """Return a map from text with each value read by ``read``."""
    items = _check(value, (dict,), "map").items()
    return {as_str(key): read(item) for key, item in items}


def check_length(cls, values, expected):
    """Raise MessageError unless ``values`` is a list of that length."""
    if not isinstance(values, list) or len(values) != expected:
        raise MessageError(f"malformed {cls.__name__}")


# Messages


class Message:
    """Base of all messages and records: plain data with slots."""

    __slots__ = ()
    KIND = 0

    def to_wire(self):
        """Return the fields as plain values."""
        raise NotImplementedError

    def pack(self):
        """Return the message as bytes."""
        return msgpack.packb(self.to_wire())

    @classmethod
    def unpack(cls, data):
        """Read one from bytes; raise MessageError if they are unfit."""
        try:
            values = msgpack.unpackb(data, strict_map_key=False)
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            raise MessageError(f"malformed {cls.__name__}") from error
        return cls.from_wire(values)

    def copy(self):
        """Return a deep copy."""
        return type(self).unpack(self.pack())

    def __eq__(self, other):
        return type(self) is type(other) and self.to_wire() == other.to_wire()

    __hash__ = None

    def __repr__(self):
        fields = (f"{name}={getattr(self, name)!r}" for name in self.__slots__)
        return f"{type(self).__name__}({', '.join(fields)})"


# Settings


class Option:
    """One key of a settings file."""

    __slots__ = ("name", "type", "default", "least", "most", "unit", "doc")

    def __init__(self, name, type_, default, least, most, unit, doc):
        self.name = name
        self.type = type_
        self.default = default
        self.least = least
        self.most = most
        self.unit = unit
        self.doc = doc
