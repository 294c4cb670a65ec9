"""Store records of budgets and of the tokens that each router holds."""

import msgpack

from ..errors import MessageError
from .allowance import Limit

# Seconds for which limits in records of earlier versions are in effect.
OLD_HOLD_SECONDS = 2.6
# Decimal places of the seconds between two times of a record.  Rounding gives
# the reader exactly the spans that the writer used.
SPAN_DIGITS = 3


class BudgetRecord:
    """The record of one budget.

    :ivar taken: tokens drawn from the store, spent or held by routers
    :ivar total: tokens paid for, by the newest configuration that a writer
        knew
    :ivar version: that configuration's version
    :ivar spent: used tokens that routers reported, a lower bound
    """

    __slots__ = ("taken", "total", "version", "spent")

    def __init__(self, taken=0, total=0, version=0, spent=0):
        self.taken = taken
        self.total = total
        self.version = version
        self.spent = spent

    @property
    def remaining(self):
        """Return the tokens that can still be drawn."""
        return max(0, self.total - self.taken)

    @classmethod
    def unpack(cls, data):
        """Return the record in a store value.

        :param data: the bytes; empty for a budget that was never drawn on
        :raises MessageError: the data is malformed
        """
        return cls(*_unpack(data, 4, 4)) if data else cls()

    def pack(self):
        """Return the bytes for the store."""
        fields = [self.taken, self.total, self.version, self.spent]
        return msgpack.packb(fields)

    def copy(self):
        """Return a copy of the record."""
        return BudgetRecord(self.taken, self.total, self.version, self.spent)

    def set_total(self, total, version):
        """Apply a total unless the record has a newer one."""
        if version >= self.version:
            self.total = total
            self.version = version

    def move(self, tokens):
        """Move tokens to a holder, or back to the store if negative.

        :returns: tokens moved, at most those remaining
        """
        moved = min(tokens, self.remaining)
        self.taken += moved
        return moved


class RunAccount:
    """Accounts for the tokens of one budget that an ended run had.

    :ivar tokens_in: tokens received
    :ivar out: part of these that had left when it wrote its record
    :ivar under_way: part of ``out`` that was reserved for running requests
    :ivar let_go: tokens that may have left since, as its limit allowed
    :ivar unspent: the rest, which provably was not spent
    """

    __slots__ = ("tokens_in", "out", "under_way", "let_go", "unspent")

    def __init__(self, tokens_in, out, under_way, let_go):
        self.tokens_in = tokens_in
        self.out = out
        self.under_way = under_way
        self.let_go = let_go
        self.unspent = tokens_in - out - let_go

    def as_log(self):
        """Return the fields for a log line."""
        return {name: getattr(self, name) for name in self.__slots__}


class HolderRecord:
    """A router's last record of the tokens that it holds.

    :ivar incarnation: the run of the router that wrote it
    :ivar number: number of its last batch
    :ivar made_at: its monotonic time just before it wrote
    :ivar grows_at: its monotonic time from which its limits grow
    :ivar lapses_at: its monotonic time from which they are not in effect
    :ivar wall: its wall time at ``made_at``
    :ivar earliest: the earliest wall time that any clock of the fleet showed
        at ``made_at``
    :ivar holdings: by budget, (tokens received, base, growth); the last two
        are a Limit of the outflow, and all count from the start of that run
    :ivar spent: by budget, tokens that it knew to be used and that no
        budget's record counts
    :ivar out: by budget, tokens that had left, and part of these that was
        reserved for running requests
    """

    __slots__ = (
        "incarnation",
        "number",
        "made_at",
        "wall",
        "earliest",
        "holdings",
        "spent",
        "out",
        "grows_at",
        "lapses_at",
    )

    def __init__(
        self,
        incarnation="",
        number=0,
        made_at=0.0,
        wall=0.0,
        earliest=0.0,
        holdings=None,
        spent=None,
        out=None,
        grows_at=None,
        lapses_at=None,
    ):
        self.incarnation = incarnation
        self.number = number
        self.made_at = made_at
        self.wall = wall
        self.earliest = earliest
        self.holdings = holdings or {}
        self.spent = spent or {}
        self.out = out or {}
        # Limits of earlier versions grew at once and expired earlier.
        self.grows_at = made_at if grows_at is None else grows_at
        if lapses_at is None:
            lapses_at = made_at + OLD_HOLD_SECONDS
        self.lapses_at = lapses_at

    @property
    def effective_seconds(self):
        """Return the age in seconds at which its limits expire."""
        return round(self.lapses_at - self.made_at, SPAN_DIGITS)

    @classmethod
    def unpack(cls, data):
        """Return the record in a store value.

        :raises MessageError: the data is malformed
        """
        # Records of earlier versions lack the last fields, from ``spent`` on.
        return cls(*_unpack(data, 6, 10)) if data else cls()

    def pack(self):
        """Return the bytes for the store."""
        return msgpack.packb(
            [
                self.incarnation,
                self.number,
                self.made_at,
                self.wall,
                self.earliest,
                self.holdings,
                self.spent,
                self.out,
                self.grows_at,
                self.lapses_at,
            ]
        )

    def unspent(self, age):
        """Return by budget the tokens that provably were not spent.

        :param age: seconds after this record by which its writer provably had
            ended; see :mod:`rowanport.prepaid.allowance`
        """
        accounts = self.run_accounts(age)
        return {n: a.unspent for n, a in accounts.items() if a.unspent > 0}

    def run_accounts(self, age=None):
        """Return the RunAccount of each budget.

        :param age: as for :meth:`unspent`; None if no age is proved, so that
            all held tokens may have left
        """
        accounts = {}
        delay = round(self.grows_at - self.made_at, SPAN_DIGITS)
        for name, (tokens_in, base, growth) in self.holdings.items():
            out, under_way = self.out.get(name, (0, 0))
            limit = tokens_in
            if age is not None:
                limit = min(limit, Limit(base, growth, delay).at(age))
            let_go = limit - out
            accounts[name] = RunAccount(tokens_in, out, under_way, let_go)
        return accounts


def _unpack(data, least, most):
    """Return the fields of a packed record.

    :param least: minimum number of fields
    :param most: maximum number of fields
    :raises MessageError: the data is no list of that size
    """
    try:
        values = msgpack.unpackb(data)
    except (ValueError, msgpack.UnpackException):
        values = None
    if not isinstance(values, list) or not least <= len(values) <= most:
        raise MessageError("malformed record")
    return values
