"""Reads the entries that upstreams keep in the platform's store.

Anybody may have written an entry: one that is not whole names no upstream to
use, whatever it was before.
"""

import json

from ..errors import MessageError
from ..gateway.upstream import Upstream
from ..gateway.upstream import UpstreamRun

READY = "ready"
DRAINING = "draining"
# Largest entry in bytes that is read: a usual one has 200 to 300, and reading
# a huge one would hold up all else.
ENTRY_LIMIT = 16384
# Largest port number.
PORT_LIMIT = 65535


class Entry:
    """One entry as it was written.

    :ivar upstream: the Upstream that it names
    :ivar beat: counts the writes of one run, its heartbeats among them
    """

    __slots__ = ("upstream", "beat")

    def __init__(self, upstream, beat):
        self.upstream = upstream
        self.beat = beat


def decode_entry(name, data):
    """Return the Entry in the bytes under an upstream's id.

    :raises MessageError: it names no upstream to use
    """
    if len(data) > ENTRY_LIMIT:
        raise MessageError(f"{len(data)} bytes")
    try:
        row = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise MessageError(f"unreadable: {error!r}") from None
    if not isinstance(row, dict):
        raise MessageError("not a table")
    # The heartbeat's number is no part of what the upstream is like.
    beat = _read(row, "seq_num", int)
    _read(row, "version", str)
    _read(row, "cold_left_ms", (int, float))
    # An upstream that does not tell when it started has a single run.
    born = _read(row, "born", int) if "born" in row else 0
    upstream = Upstream(
        name,
        _read(row, "service", str),
        _read_address(row),
        _read(row, "zone", str),
        _read_slots(row),
        _read_leaving(row),
        born,
    )
    return Entry(upstream, beat)


def _read(row, field, type_):
    """Return a field's value; raise MessageError unless it has a type."""
    value = row.get(field)
    # A bool is an int to Python only.
    if not isinstance(value, type_) or isinstance(value, bool):
        raise MessageError(f"{field} is {value!r:.80}")
    return value


def _read_address(row):
    address = _read(row, "address", str)
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= PORT_LIMIT:
        raise MessageError(f"address is {address!r:.80}")
    return address


def _read_slots(row):
    slots = _read(row, "slots", int)
    if slots < 1:
        raise MessageError(f"slots is {slots}")
    return slots


def _read_leaving(row):
    state = _read(row, "state", str)
    if state not in (READY, DRAINING):
        raise MessageError(f"state is {state!r:.80}")
    return state == DRAINING


class EntryBook:
    """Tells entries that are in force from those that came late.

    A write whose answer was lost may be done seconds after later ones, and
    would call an upstream that leaves ready again.
    """

    def __init__(self):
        self._newest = {}
        self._unproved = {}

    def take(self, entry):
        """Return whether an Entry is in force, and remember it then.

        One of an older run than the newest known one may be such a late
        write, or the clock that it is dated by went back: it is in force once
        a second write shows that this run lives.
        """
        upstream = entry.upstream
        run, beat = UpstreamRun(upstream.id, upstream.born), entry.beat
        known = self._newest.get(upstream.id)
        if known is not None:
            known_run, known_beat = known
            if run == known_run and run.born and beat < known_beat:
                return False
            if run.born < known_run.born and not self._is_proved(run, beat):
                return False
        self._newest[upstream.id] = (run, beat)
        self._unproved.pop(upstream.id, None)
        return True

    def _is_proved(self, run, beat):
        seen = self._unproved.get(run.id)
        if seen is not None and seen[0] == run and beat > seen[1]:
            return True
        self._unproved[run.id] = (run, beat)
        return False

    def forget(self, name):
        """Forget an upstream that is gone."""
        self._newest.pop(name, None)
        self._unproved.pop(name, None)
