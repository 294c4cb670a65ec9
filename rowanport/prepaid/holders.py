"""Which routers draw a budget's tokens from the store.

These are the budget's holders; all other routers borrow from them.
"""

from ..hashing import rendezvous
from ..membership.members import STORE_DUTY

# Largest fleet in which every router draws, so that each has tokens while it
# is cut off.
SMALL_FLEET = 8
# Holders of a budget in a larger fleet.  Each writes at least one record a
# second; with many holders these writes are most of a fleet's store calls.
HOLDERS = 4
# Part of the fleet that draws on any budget, but at least HOLDERS routers, so
# that the load on the store grows more slowly than the fleet.  Routers that
# just started know few others, but in fleets of up to 249 routers they choose
# the same ones.
DRAWING_SHARE = 0.02
# Seconds after the start in which a router may not know the others yet:
# heartbeats are 0.8 s apart, and machines that lost power together are back
# within a second of each other.
DISCOVERY_SECONDS = 3.0
# Seconds for which a router that reaches no holder draws itself.  By then a
# holder is back after a loss of power, or others have replaced it.
FALLBACK_SECONDS = 3.0


class Holders:
    """Which routers draw on which budget, as one router sees it.

    :param address: this router's peer address
    :param accounts: its Accounts by budget
    :param members: the Membership
    :param clock: a Clock
    """

    def __init__(self, address, accounts, members, clock):
        self._address = address
        self._accounts = accounts
        self._members = members
        self._clock = clock
        self._started = clock.steady()
        # Holders by budget, and the routers among which they were chosen.
        self._chosen = {}
        self._chosen_among = None
        # Monotonic times by budget until which this router draws because it
        # reached no holder.
        self._fallback_until = {}

    @property
    def is_large(self):
        """Return whether only some routers draw and the others borrow."""
        return len(self._routers()) > SMALL_FLEET

    @property
    def is_starting(self):
        """Return whether this router may not know the others yet."""
        return self._clock.steady() < self._started + DISCOVERY_SECONDS

    def for_budget(self, name):
        """Return the addresses of the holders of a budget.

        There are none while all routers are stopping.
        """
        routers = self.drawing_routers()
        if not self.is_large:
            return routers
        if routers is not self._chosen_among:
            self._chosen_among = routers
            self._chosen = {}
        chosen = self._chosen.get(name)
        if chosen is None:
            chosen = rendezvous(name, routers)[:HOLDERS]
            self._chosen[name] = chosen
        return chosen

    def is_holder(self, name):
        """Return whether this router draws on a budget."""
        if self._address in self.for_budget(name):
            return True
        now = self._clock.steady()
        if now < self._fallback_until.get(name, 0.0):
            return True
        account = self._accounts.get(name)
        return account is not None and account.has_heavy_demand(HOLDERS, now)

    def allow_fallback_draw(self, name):
        """Let this router draw for a while, as no holder answers."""
        self._fallback_until[name] = self._clock.steady() + FALLBACK_SECONDS

    def drawing_routers(self):
        """Return the addresses of routers that draw on any budget."""
        if self.is_large:
            return self._members.delegates(STORE_DUTY, HOLDERS, DRAWING_SHARE)
        return self._routers()

    def _routers(self):
        """Return the addresses of the cell's routers that are not leaving.

        A router that is suspected for a moment is included.  Otherwise a
        large fleet would count as small for that time, and all would draw.
        """
        return self._members.delegates("routers", SMALL_FLEET, 1.0)

    def count(self, name):
        """Return the number of holders of a budget, at least one.

        While all routers are stopping there is no holder, but this router
        still has tokens.
        """
        return max(1, len(self.for_budget(name)))

    def sharer_count(self, name):
        """Return among how many routers to divide a budget when drawing.

        A router that just started may know no other.  If it drew for the
        whole fleet, the others would have nothing until it returned that.
        """
        count = self.count(name)
        return max(count, SMALL_FLEET) if self.is_starting else count
