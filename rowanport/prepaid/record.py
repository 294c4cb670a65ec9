"""What the store keeps of budgets, and of what each router holds."""

import msgpack

from ..errors import MessageError
from .allowance import Limit

# Seconds for which limits in records of earlier versions bind.
OLD_HOLD_SECONDS = 2.6
# Digits of seconds between two times of a record: its reader gets the very
# spans that its writer kept to.
SPAN_DIGITS = 3


class BudgetRecord:
    """The store's side of one budget.

    :ivar taken: tokens out of the store, spent or held by routers
    :ivar total: tokens paid for, by the newest configuration that a writer
        knew
    :ivar version: that configuration's version
    :ivar spent: tokens that were surely used, as far as routers have told;
        never more than really were
    """

    __slots__ = ("taken", "total", "version", "spent")

    def __init__(self, taken=0, total=0, version=0, spent=0):
        self.taken = taken
        self.total = total
        self.version = version
        self.spent = spent

    @property
    def remaining(self):
        """Return the tokens that may still be taken."""
        return max(0, self.total - self.taken)

    @classmethod
    def unpack(cls, data):
        """Return the record in a store value; raise MessageError if unfit.

        :param data: the bytes; empty for a budget nobody has drawn on
        """
        return cls(*_unpack(data, 4, 4)) if data else cls()

    def pack(self):
        """Return the bytes for the store."""
        fields = [self.taken, self.total, self.version, self.spent]
        return msgpack.packb(fields)

    def copy(self):
        """Return a record of its own with the same values."""
        return BudgetRecord(self.taken, self.total, self.version, self.spent)

    def set_total(self, total, version):
        """Take over a total unless a newer one is known."""
        if version >= self.version:
            self.total = total
            self.version = version

    def move(self, tokens):
        """Move tokens out to a holder, or back from it if negative.

        :returns: tokens moved; never more than are left
        """
        moved = min(tokens, self.remaining)
        self.taken += moved
        return moved


class RunAccount:
    """Where the tokens of one budget are that an ended run had.

    :ivar tokens_in: tokens that came in
    :ivar out: of these, tokens that had gone out when it wrote its record
    :ivar under_way: of these, tokens set aside then for requests under way
    :ivar let_go: tokens that it may have let go since, as its limit allowed
    :ivar unspent: the rest, which surely was never spent
    """

    __slots__ = ("tokens_in", "out", "under_way", "let_go", "unspent")

    def __init__(self, tokens_in, out, under_way, let_go):
        self.tokens_in = tokens_in
        self.out = out
        self.under_way = under_way
        self.let_go = let_go
        self.unspent = tokens_in - out - let_go

    def as_log(self):
        """Return it as it stands in a log line."""
        return {name: getattr(self, name) for name in self.__slots__}


class HolderRecord:
    """What a router last said about the tokens that it holds.

    :ivar incarnation: the run of the router that wrote it
    :ivar number: number of its last batch
    :ivar made_at: its steady time just before it wrote
    :ivar grows_at: its steady time from which its limits grow
    :ivar lapses_at: its steady time from which they bind no more
    :ivar wall: its wall time then
    :ivar earliest: the earliest wall time that any clock of the fleet
        showed then
    :ivar holdings: by budget, (tokens in, base, pace): the last two are a
        Limit of tokens out; all are counted from the start of that run
    :ivar spent: by budget, tokens that it knew to be used and that no
        budget's record counts
    :ivar out: by budget, tokens that had gone out, and those of them that
        were set aside for requests under way
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
        # Those of earlier versions grew at once, and bound for less long.
        self.grows_at = made_at if grows_at is None else grows_at
        if lapses_at is None:
            lapses_at = made_at + OLD_HOLD_SECONDS
        self.lapses_at = lapses_at

    @property
    def effective_seconds(self):
        """Return the age in seconds from which its limits bind no more."""
        return round(self.lapses_at - self.made_at, SPAN_DIGITS)

    @classmethod
    def unpack(cls, data):
        """Return the record in a store value; raise MessageError if unfit."""
        # Those of earlier versions do not name what was spent, or is out.
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
        """Return by budget the tokens that surely were never spent.

        :param age: seconds after this record by which its writer surely had
            ended; see :mod:`rowanport.prepaid.allowance`
        """
        accounts = self.run_accounts(age)
        return {n: a.unspent for n, a in accounts.items() if a.unspent > 0}

    def run_accounts(self, age=None):
        """Return the RunAccount of each budget.

        :param age: as for :meth:`unspent`; None if no age is proved, and all
            that was held may have gone out
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
    """Return the fields of a record, so many at least and at most."""
    try:
        values = msgpack.unpackb(data)
    except (ValueError, msgpack.UnpackException):
        values = None
    if not isinstance(values, list) or not least <= len(values) <= most:
        raise MessageError("malformed record")
    return values
