"""Decodes the operator's configuration into a RoutingTable."""

from ..errors import MessageError
from ..json_values import is_number
from ..json_values import load_json
from ..routing import EngineLimits
from ..routing import Limits
from ..routing import Organisation
from ..routing import Route
from ..routing import RouteKind
from ..routing import RoutingTable
from ..routing import Service

# A stream is what the platform names a kind of its own; which of the other
# kinds it is like depends on whether it may be resumed.
KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}

BYTES_PER_MEGABIT = 1e6 / 8


# Whole numbers in messages to peers have 64 bits.
INTEGER_LIMIT = 2**63
# Stands for a value that a configuration has to hold.
_NEEDED = object()


def decode_config(data):
    """Return the RoutingTable in the bytes of a configuration.

    A value that is null counts as missing.

    :raises MessageError: it is not one
    """
    try:
        fields = _table(load_json(data), "configuration")
        return RoutingTable(
            _whole(fields, "version"),
            [_route(row) for row in _rows(fields, "routes")],
            [_service(row) for row in _rows(fields, "services")],
            [_organisation(row) for row in _rows(fields, "tenants", ())],
            _limits(_table(fields.get("limits"), "limits")),
        )
    except (ValueError, KeyError) as error:
        raise MessageError(f"configuration: {error!r:.200}") from None


def _route(row):
    targets = [
        (_text(target, "service"), _number(target, "weight"))
        for target in _rows(row, "traffic_split", ())
    ] or [(_text(row, "service"), 1)]
    timeout_ms = _number(row, "timeout_ms")
    return Route(
        _text(row, "name"),
        _text(row, "host").lower(),
        _text(row, "path_prefix"),
        KINDS[_text(row, "route_type")],
        targets,
        timeout_ms / 1000,
        _number(row, "target_latency_ms", timeout_ms) / 1000,
        _whole(row, "max_attempts", 1),
        _whole(row, "priority", 0),
        _flag(row, "public"),
        _flag(row, "stream_resume"),
        _number(row, "gap_aim_ms", 0) / 1000,
    )


def _service(row):
    # A "stride" is how many tokens one event holds.
    engine = _table(_read(row, "engine", {}), "engine")
    return Service(
        _text(row, "name"),
        _text(row, "health_path", ""),
        _whole(row, "max_connections", 0),
        _whole(engine, "stride", 1, least=1),
        float(_number(row, "cold_start_s", 0.0)),
        float(_number(row, "cold_per_s", 0.0)),
        _engine(engine),
    )


def _engine(row):
    return EngineLimits(
        int(_number(row, "slots", 0)),
        int(_number(row, "kv_capacity_tokens", 0)),
        int(_number(row, "kv_token_bytes", 0)),
        float(_number(row, "link_mbps", 0.0)) * BYTES_PER_MEGABIT,
        _flag(row, "moves"),
        _flag(row, "backups"),
        float(_number(row, "handle_s", 0.0)),
    )


def _organisation(row):
    keys = _read(row, "api_keys")
    # A text in place of the list would make each of its letters a key.
    if not isinstance(keys, list) or not all(map(_is_text, keys)):
        raise _unfit("api_keys", keys)
    return Organisation(
        _text(row, "name"),
        frozenset(keys),
        _whole(row, "prepaid", None),
        _whole(row, "priority", None),
    )


def _limits(row):
    return Limits(
        _whole(row, "max_header_bytes"),
        _whole(row, "max_body_bytes"),
        _number(row, "header_timeout_ms") / 1000,
        _number(row, "idle_timeout_ms") / 1000,
    )


# Single values


def _unfit(field, value):
    return ValueError(f"{field} is {value!r:.80}")


def _table(value, name):
    if not isinstance(value, dict):
        raise _unfit(name, value)
    return value


def _read(row, field, default=_NEEDED):
    """Return a field's value, the default if it is missing."""
    value = row.get(field)
    if value is not None:
        return value
    if default is _NEEDED:
        raise _unfit(field, value)
    return default


def _rows(row, field, default=_NEEDED):
    """Return a list of tables."""
    rows = _read(row, field, default)
    if not isinstance(rows, (list, tuple)):
        raise _unfit(field, rows)
    return [_table(one, field) for one in rows]


def _is_text(value):
    """Return whether a value is text that a message can hold."""
    if not isinstance(value, str):
        return False
    try:
        value.encode()
    except UnicodeEncodeError:
        # JSON may hold halves of surrogate pairs.
        return False
    return True


def _text(row, field, default=_NEEDED):
    value = _read(row, field, default)
    if not _is_text(value):
        raise _unfit(field, value)
    return value


def _number(row, field, default=_NEEDED):
    value = _read(row, field, default)
    if not is_number(value):
        raise _unfit(field, value)
    return value


def _whole(row, field, default=_NEEDED, least=-INTEGER_LIMIT):
    """Return a whole number, which may be written as 1e6."""
    value = _read(row, field, default)
    if value is default:
        return value
    fits = is_number(value) and least <= value < INTEGER_LIMIT
    if not fits or value != int(value):
        raise _unfit(field, value)
    return int(value)


def _flag(row, field):
    value = _read(row, field, False)
    # A text is none: "false" would count as true.
    if not isinstance(value, (bool, int)):
        raise _unfit(field, value)
    return bool(value)
