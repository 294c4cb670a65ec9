"""Bills that a holder has accepted and not yet written to the shard."""

import collections

from ..schema.messages import BillEntry
from .record import NO_BILL


def make_bill(message):
    """Return the BillEntry of a Settle message."""
    return BillEntry(
        message.request,
        message.reservation,
        message.run,
        message.budget,
        message.holder,
        message.tokens,
        message.expiry,
    )


class UnwrittenBills:
    """Bills by reservation id, each with its entry router."""

    def __init__(self):
        self._bills = {}
        self._written = []

    def __len__(self):
        return len(self._bills)

    def __contains__(self, reservation):
        return reservation in self._bills

    def __iter__(self):
        return iter([bill for bill, _entry in self._bills.values()])

    def is_presumed(self, reservation):
        """Return whether the bill of a reservation is a presumption."""
        bill, _entry = self._bills[reservation]
        return bill.expiry == NO_BILL

    def add(self, bill, entry):
        """Queue a bill for the next batch.

        :param entry: incarnation of the entry router, None if not known
        """
        self._bills[bill.reservation] = (bill, entry)

    def mark_written(self, bill):
        """Remove a bill that is now in the shard."""
        self._bills.pop(bill.reservation, None)
        self._written.append(bill.reservation)

    def pop_written(self):
        """Return ids of reservations whose bills were newly written."""
        written = self._written
        self._written = []
        return written

    def reservations(self):
        """Return the ids of the reservations of all bills."""
        return set(self._bills)

    def entries(self):
        """Return the known entry routers of the bills.

        Unknown ones are left out.  A recovery asks each listed entry router
        to attest: an empty name would make every recovery fail, and the
        grants would never be freed.
        """
        return {
            entry for _bill, entry in self._bills.values() if entry is not None
        }

    def owed(self, holder):
        """Return the tokens to debit from a holder's grants, by budget."""
        owed = collections.Counter()
        for bill in self:
            if bill.holder == holder:
                owed[bill.budget] += bill.tokens
        return owed
