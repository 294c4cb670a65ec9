"""Shares the demand by organisation between the routers of a fleet.

Services and organisations are sent as hashes of 32 bits, so that a report
stays within 1 KB a second.  Two names with the same hash share one share.
"""

import msgpack

from ..admission import Demand
from ..admission import DemandBook
from ..errors import MessageError
from ..hashing import hash_of
from ..schema.base import as_bool
from ..schema.base import as_int
from ..schema.base import as_list
from .state_exchange import StateComponent

# Amounts are sent as multiples of this part of a unit: a router may get a
# request of an organisation every few seconds only.
PRECISION = 16
# Fields of a service's row.
FIELDS = 5


def id_of(name):
    """Return the number by which a name is sent."""
    return hash_of(name) & 0xFFFFFFFF


class DemandSync(StateComponent):
    """Reports this router's demand, and merges what peers report.

    :param gateway: the Gateway
    :ivar book: the DemandBook, by the numbers of services and organisations
    """

    name = "demand"

    def __init__(self, gateway):
        self._gateway = gateway
        self.book = DemandBook()

    @property
    def active(self):
        return self._gateway.large_fleet

    @property
    def _now(self):
        return self._gateway.clock.steady()

    def report(self):
        return encode(self.book.report(self._now))

    def collect(self, data, sender):
        self.book.collect(sender, decode(data), self._now)

    def summarize(self, receiver):
        routers = len(self._gateway.members.live_peers())
        return encode(self.book.summarize(routers, self._now))

    def apply(self, data, sender):
        self.book.apply(decode(data), self._now)


def encode(demands):
    """Return Demands by service as bytes, b"" for none."""
    rows = []
    for service, demand in demands.items():
        pairs = []
        for name, amount in demand.organisations.items():
            pairs += [name, round(PRECISION * amount)]
        total = round(PRECISION * demand.total)
        begun = round(PRECISION * demand.begun)
        if total or begun or demand.turned_away:
            rows.append([service, total, begun, demand.turned_away, pairs])
    return msgpack.packb(rows) if rows else b""


def decode(data):
    """Return the Demands by service that bytes hold.

    :raises MessageError: the data cannot be read
    """
    try:
        rows = msgpack.unpackb(data)
    except (ValueError, msgpack.UnpackException) as error:
        raise MessageError("malformed demand") from error
    return dict(as_list(rows, _read_row))


def _read_row(row):
    if not isinstance(row, list) or len(row) != FIELDS:
        raise MessageError("malformed demand of a service")
    pairs = as_list(row[4], as_int)
    if len(pairs) % 2:
        raise MessageError("malformed demand of organisations")
    amounts = map(_read_amount, pairs[1::2])
    return as_int(row[0]), Demand(
        _read_amount(row[1]),
        _read_amount(row[2]),
        as_bool(row[3]),
        dict(zip(pairs[::2], amounts)),
    )


def _read_amount(value):
    if as_int(value) < 0:
        raise MessageError("negative demand")
    return value / PRECISION
