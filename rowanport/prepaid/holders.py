"""Which routers draw on a budget; the others borrow from them."""

from ..hashing import rendezvous
from ..membership.members import STORE_DUTY

# Fleets up to which every router draws, so that each has tokens in a cut.
SMALL_FLEET = 8
# Routers of a larger fleet that hold tokens of one budget drawn from the
# store; the others borrow from these.  Each writes a record or more a second,
# and with many of them records are most of a fleet's calls of the store.
HOLDERS = 4
# Part of the fleet that draws on any budget, HOLDERS routers at least: the
# store's rates grow more slowly than the fleet.  Routers that just started
# know few others; up to 249 routers they find the same ones all the same.
DRAWING_SHARE = 0.02
# Seconds after the start during which a router may not know the others yet:
# heartbeats are 0.8 s apart, and machines that lost power together are back
# within a second of each other.
DISCOVERY_SECONDS = 3.0
# Seconds for which a router draws that reaches no holder: by then one is back
# after a loss of power, or others have taken its place.
FALLBACK_SECONDS = 3.0


class Holders:
    """Who draws on which budget, as one router sees it.

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
        # Steady times until which this router draws for want of holders.
        self._fallback_until = {}

    @property
    def is_large(self):
        """Return whether some routers borrow what others draw."""
        return len(self._routers()) > SMALL_FLEET

    @property
    def is_starting(self):
        """Return whether this router may not know the others yet."""
        return self._clock.steady() < self._started + DISCOVERY_SECONDS

    def for_budget(self, name):
        """Return the addresses of routers that draw on a budget.

        There are none while all routers stop.
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
        """Let this router draw on a budget for a while: no holder answers."""
        self._fallback_until[name] = self._clock.steady() + FALLBACK_SECONDS

    def drawing_routers(self):
        """Return the addresses of routers that draw on any budget."""
        if self.is_large:
            return self._members.delegates(STORE_DUTY, HOLDERS, DRAWING_SHARE)
        return self._routers()

    def _routers(self):
        """Return the addresses of all routers of the cell that go on.

        One that is suspected for a moment stays among them: a fleet does not
        turn small and draw anew because of it.
        """
        return self._members.delegates("routers", SMALL_FLEET, 1.0)

    def count(self, name):
        """Return how many routers hold tokens of a budget, one at least.

        While all routers stop nobody draws on it, and this one still holds
        some.
        """
        return max(1, len(self.for_budget(name)))

    def sharer_count(self, name):
        """Return by how many routers to share a budget when drawing on it.

        One that just started may seem alone.  Drawing for the whole fleet,
        it would leave the others nothing until it has given it back.
        """
        count = self.count(name)
        return max(count, SMALL_FLEET) if self.is_starting else count
