"""Reads the entries that upstreams keep in the platform's store.

Anybody may have written an entry: one that is not whole names no upstream to
use, whatever it was before.
"""

import re

from ..errors import MessageError
from ..gateway.upstream import Upstream
from ..json_values import load_json
from ..warmup import parse_cold_time

READY = "ready"
DRAINING = "draining"
# Largest entry in bytes that is read: a usual one has 200 to 300, and reading
# a huge one would hold up all else.
ENTRY_LIMIT = 16384
# Seconds in which an upstream that lives has written its entry again: two
# heartbeats of 1.2 s and the way to here.  A write that only counts on tells
# nobody who waits for changes, so a second one is not waited for.
OBJECTION_SECONDS = 3.0
# Largest port number.
PORT_LIMIT = 65535
# Whole numbers in messages to peers have 64 bits.
INTEGER_LIMIT = 2**63
# Both are sent in headers of each request, which hold no other characters.
_NAME = re.compile(r"[!-~]+")
_ADDRESS = re.compile(r"[!-~]+:([0-9]{1,5})")


class Entry:
    """One entry as it was written.

    :ivar upstream: the Upstream that it names
    :ivar beat: counts the writes of one run, its heartbeats among them
    :ivar cold: seconds for which it is cold, None if that is unreadable
    """

    __slots__ = ("upstream", "beat", "cold")

    def __init__(self, upstream, beat, cold=0.0):
        self.upstream = upstream
        self.beat = beat
        self.cold = cold


def decode_entry(name, data):
    """Return the Entry in the bytes under an upstream's id.

    :raises MessageError: it names no upstream to use
    """
    if not _NAME.fullmatch(name):
        raise MessageError(f"the id is {name!r:.80}")
    if len(data) > ENTRY_LIMIT:
        raise MessageError(f"{len(data)} bytes")
    try:
        row = load_json(data)
    except ValueError as error:
        raise MessageError(f"unreadable: {error!r}") from None
    if not isinstance(row, dict):
        raise MessageError("not a table")
    # The heartbeat's number is no part of what the upstream is like.
    beat = _read(row, "seq_num", int)
    version = _read(row, "version", str)
    cold = parse_cold_time(row.get("cold_left_ms"))
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
        version=version,
    )
    return Entry(upstream, beat, cold)


def _read(row, field, type_):
    """Return a field's value.

    :raises MessageError: it has another type, or no message can hold it
    """
    value = row.get(field)
    # A bool is an int to Python only.
    fits = isinstance(value, type_) and not isinstance(value, bool)
    if not fits or not _fits_message(value):
        raise MessageError(f"{field} is {value!r:.80}")
    return value


def _fits_message(value):
    """Return whether text or a whole number can be sent to peers."""
    if isinstance(value, int):
        return -INTEGER_LIMIT <= value < INTEGER_LIMIT
    try:
        value.encode()
    except UnicodeEncodeError:
        # JSON may hold halves of surrogate pairs.
        return False
    return True


def _read_address(row):
    address = _read(row, "address", str)
    found = _ADDRESS.fullmatch(address)
    if not found or not 0 < int(found[1]) <= PORT_LIMIT:
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


class _Doubt:
    """An Entry of an earlier run than the newest known one.

    :ivar until: steady time until which the newest run may object
    """

    __slots__ = ("entry", "until")

    def __init__(self, entry, until):
        self.entry = entry
        self.until = until


class EntryBook:
    """Tells entries that are in force from those that came late.

    A write whose answer was lost may be done seconds after later ones, and
    would call an upstream that leaves ready again.
    """

    def __init__(self):
        self._newest = {}
        self._doubts = {}

    def take(self, entry, now):
        """Return whether an Entry is in force, and remember it then.

        One of an earlier run than the newest known one may be such a late
        write, or its clock went back: :meth:`settle` tells.

        :param now: steady time
        """
        upstream = entry.upstream
        known = self._newest.get(upstream.id)
        if known is not None:
            if _is_older_beat(entry, known):
                return False
            if upstream.born < known.upstream.born:
                self._doubt(entry, now)
                return False
        self._accept(entry)
        return True

    def settle(self, now):
        """Return the Entries of earlier runs that are in force by now.

        The newest run, if it lives, has written its own entry meanwhile.
        """
        settled = [d.entry for d in self._doubts.values() if now >= d.until]
        for entry in settled:
            self._accept(entry)
        return settled

    def keep(self, names):
        """Forget all upstreams but some."""
        for name in self._newest.keys() - names:
            self.forget(name)

    def forget(self, name):
        """Forget an upstream that is gone."""
        self._newest.pop(name, None)
        self._doubts.pop(name, None)

    def _accept(self, entry):
        self._newest[entry.upstream.id] = entry
        self._doubts.pop(entry.upstream.id, None)

    def _doubt(self, entry, now):
        """Wait for the newest run's word; later writes do not prolong it."""
        name = entry.upstream.id
        seen = self._doubts.get(name)
        until = now + OBJECTION_SECONDS
        if seen is not None and seen.entry.upstream.run == entry.upstream.run:
            until = seen.until
        self._doubts[name] = _Doubt(entry, until)


def _is_older_beat(entry, known):
    """Return whether an Entry is an earlier write of the known one's run."""
    run = entry.upstream.run
    if not run.born or run != known.upstream.run:
        return False
    return entry.beat < known.beat
