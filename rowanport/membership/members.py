"""The view one router has of the fleet, from heartbeats that spread.

Each router raises its own counter; counters travel by gossip, a bounded
number of entries a message, so that the bytes a router spends do not grow
with the fleet.  A router is alive while its counter still rises.  Nothing
that must be safe depends on this view.
"""

import math
import random

from ..hashing import rendezvous
from ..incarnation import address_of
from ..incarnation import cell_of
from ..schema.messages import Gossip
from ..schema.messages import MemberEntry

# Routers up to which heartbeats reach all others well within the time after
# which one is suspected; in a larger fleet that time is longer in proportion.
# At 86 routers, 12 entries a message and two messages a round, the oldest
# heartbeat in a hundred is 10 rounds old, the very oldest 16.
WELL_HEARD = 12
# Seconds without a heartbeat after which a router is a delegate no more, and
# the fleet up to which that is longer than heartbeats need.
DELEGATE_SECONDS = 10.0
DELEGATES_WELL_HEARD = 32
# Listed routers that are told at once when they are not known yet: all of a
# fleet as large as today's.
MAX_ANNOUNCEMENTS = 8
# The kind of duty for the fleet that needs the store: following it and drawing
# tokens.  Those that do the latter are listed as they do the former.
STORE_DUTY = "store"
STARTING = "starting"
READY = "ready"
LEAVING = "leaving"
_RANK = {STARTING: 0, READY: 1, LEAVING: 2}


class _Member:
    """One known router and when its counter last rose.

    :ivar address: its peer address
    :ivar near: whether it is of this router's cell
    :ivar suspected: whether a call went unanswered since then
    """

    __slots__ = ("entry", "seen", "address", "near", "suspected")

    def __init__(self, entry, seen, near):
        self.entry = entry
        self.seen = seen
        self.address = address_of(entry.incarnation)
        self.near = near
        self.suspected = False


class _Delegates:
    """The routers that do something for all.

    :ivar candidates: the addresses among which they were chosen
    :ivar chosen: the addresses of those that do it
    """

    __slots__ = ("candidates", "chosen")

    def __init__(self, candidates, chosen):
        self.candidates = candidates
        self.chosen = chosen


class Membership:
    """All routers that one router knows.

    :param incarnation: this router's incarnation
    :param data_centre: this router's data centre
    :param settings: MembershipSettings
    :param clock: a Clock
    :param seed: seed of the random choices
    """

    def __init__(self, incarnation, data_centre, settings, clock, seed=None):
        self._incarnation = incarnation
        self._settings = settings
        self._clock = clock
        self._random = random.Random(seed)
        self._cell = cell_of(incarnation)
        self._address = address_of(incarnation)
        self._own = MemberEntry(incarnation, data_centre, 1, STARTING, 0)
        self._members = {}
        self._seeds = []
        self._listed = []
        self._started = clock.steady()
        self._homes = {}
        self._delegates = {}
        self._delegates_fresh = set()
        self._fresh = []
        self._fresh_until = -math.inf

    # Own entry

    @property
    def own_entry(self):
        """Return this router's own entry."""
        return self._own

    def set_state(self, state):
        """Say whether this router is starting, ready or leaving."""
        self._own.state = state
        self._forget_orders()

    def set_config(self, version):
        """Say which configuration is in force here."""
        self._own.config = version

    @property
    def seeds(self):
        """Return the peer addresses that the settings name."""
        return self._seeds

    def set_seeds(self, addresses):
        """Give the peer addresses that the settings name."""
        self._seeds = list(addresses)

    @property
    def listed(self):
        """Return the peer addresses that the platform lists."""
        return self._listed

    def set_listed(self, addresses):
        """Give the peer addresses that the platform lists."""
        self._listed = list(addresses)
        self._forget_orders()

    # Gossip

    def tick(self):
        """Raise the own counter; return (address, Gossip) pairs to send."""
        self._own.beat += 1
        self._forget()
        message = self._message()
        return [(address, message) for address in self._targets()]

    def announcements(self):
        """Return (address, Gossip) pairs for listed routers not known yet.

        A router that just started hears of the others a round earlier.
        """
        unknown = sorted(self._unknown_seeds())
        count = min(MAX_ANNOUNCEMENTS, len(unknown))
        message = self._message()
        chosen = self._random.sample(unknown, count)
        return [(address, message) for address in chosen]

    def _unknown_seeds(self):
        known = {member.address for member in self._members.values()}
        return {*self._seeds, *self._listed} - known - {self._address}

    def _targets(self):
        members = self._members.values()
        near = [member for member in members if member.near]
        far = [member for member in members if not member.near]
        unknown = self._unknown_seeds()
        count = min(self._settings.fanout, len(near))
        targets = self._random.sample(near, count)
        if targets:
            targets[0] = self._stalest(near)
        targets = [member.address for member in targets]
        if unknown:
            targets.append(self._random.choice(sorted(unknown)))
        # Two routers of a cell, on average, call another cell each round.
        if far and self._random.random() * (len(near) + 1) < 2:
            targets.append(self._random.choice(far).address)
        return targets

    def _stalest(self, near):
        """Return whose heartbeat is the oldest, before it is suspected.

        Asking it directly keeps a large cell from suspecting a router whose
        heartbeats merely were not passed on.
        """
        fresh = [member for member in self._fresh_members() if member.near]
        return min(fresh or near, key=lambda member: member.seen)

    def _message(self):
        """Return a Gossip of the own entry and some fresh ones.

        Half of them are the newest, so that a heartbeat spreads while it is
        news; the rest is random, so that none is left out for long.
        """
        near = [member for member in self._fresh_members() if member.near]
        near.sort(key=lambda member: member.seen, reverse=True)
        count = self._settings.entries - 1
        newest = near[: count // 2]
        rest = near[count // 2 :]
        count = min(count - len(newest), len(rest))
        chosen = [*newest, *self._random.sample(rest, count)]
        return Gossip([self._own, *(member.entry for member in chosen)])

    def receive(self, message):
        """Take in a Gossip; return the one to answer with."""
        self.take(message)
        return self._message()

    def take(self, message):
        """Take in a Gossip."""
        now = self._clock.steady()
        for entry in message.members:
            self._take(entry, now)

    def _take(self, entry, now):
        if entry.incarnation == self._incarnation:
            return
        known = self._members.get(entry.incarnation)
        if known is None:
            near = cell_of(entry.incarnation) == self._cell
            member = _Member(entry, now, near)
            self._members[entry.incarnation] = member
            self._drop_older(member)
            self._forget_views()
        elif entry.beat > known.entry.beat:
            if entry.state != known.entry.state:
                self._homes.clear()
            if _RANK[entry.state] < _RANK[known.entry.state]:
                entry.state = known.entry.state
            if known.suspected or now >= known.seen + self._fresh_seconds:
                known.suspected = False
                self._forget_views()
            known.entry = entry
            known.seen = now

    def _drop_older(self, new):
        """Forget earlier incarnations at the same address."""
        for name, member in list(self._members.items()):
            if member.address == new.address and member is not new:
                if not self._is_fresh(member):
                    del self._members[name]

    def _forget(self):
        limit = self._clock.steady() - self._settings.forget_after
        for name, member in list(self._members.items()):
            if member.seen < limit:
                del self._members[name]
                self._forget_views()
        self._forget_orders()

    def _forget_views(self):
        """Find out anew who is alive, and what follows from it."""
        self._fresh_until = -math.inf
        self._homes.clear()

    def _forget_orders(self):
        """Find out anew who does what."""
        self._homes.clear()
        self._delegates_fresh.clear()

    @property
    def _fresh_seconds(self):
        """Return the age of a heartbeat up to which its router is alive."""
        return self._stretch(WELL_HEARD) * self._settings.suspect_after

    def _is_fresh(self, member):
        if member.suspected:
            return False
        return self._clock.steady() < member.seen + self._fresh_seconds

    def _fresh_members(self):
        """Return the members that are alive.

        They are found out anew only when that may have changed: to ask all
        members each time took a router of 195 1.3 ms of processor time, it
        takes 0.06 (means of 20 calls).
        """
        if self._clock.steady() < self._fresh_until:
            return self._fresh
        members = self._members.values()
        self._fresh = [member for member in members if self._is_fresh(member)]
        oldest = min((member.seen for member in self._fresh), default=math.inf)
        self._fresh_until = oldest + self._fresh_seconds
        return self._fresh

    def _stretch(self, well_heard):
        """Return how much slower news come than in a small fleet."""
        return max(1.0, len(self._members) / well_heard)

    # Views

    def live(self):
        """Return the entries of all routers that seem alive, own first."""
        return [self._own, *(m.entry for m in self._fresh_members())]

    def is_alive(self, incarnation):
        """Return whether a router seems alive."""
        if incarnation == self._incarnation:
            return True
        member = self._members.get(incarnation)
        return member is not None and self._is_fresh(member)

    def is_known(self, incarnation):
        """Return whether a router is remembered, alive or not."""
        return incarnation in self._members

    def is_replaced(self, incarnation):
        """Return whether a later router is known at the same address."""
        address = address_of(incarnation)
        return any(
            member.address == address and name != incarnation
            for name, member in self._members.items()
        )

    def is_presumed_live(self, address):
        """Return whether a listed router was not heard of since the start."""
        return address in self._presumed_live()

    def suspect(self, incarnation):
        """Take a router for dead until its counter rises again."""
        member = self._members.get(incarnation)
        if member is not None:
            member.suspected = True
            self._forget_views()

    def suspect_address(self, address):
        """Take the router at a peer address for dead; see suspect."""
        for name, member in self._members.items():
            if member.address == address:
                self.suspect(name)

    @property
    def knows_peers(self):
        """Return whether another router of the cell is remembered."""
        return any(member.near for member in self._members.values())

    def entries(self):
        """Return the incarnations of the cell that may ask for tokens."""
        others = self.live_peers()
        if others:
            return others
        # Alone in the cell, a home serves its own entry unwitnessed.
        return [self._incarnation]

    def live_peers(self):
        """Return the other live incarnations of the cell."""
        return [
            member.entry.incarnation
            for member in self._fresh_members()
            if member.near
        ]

    def ready_peers(self):
        """Return the other live and ready incarnations of the cell."""
        ready = self._ready_peers()
        self._random.shuffle(ready)
        return ready

    def _ready_peers(self):
        return [
            member.entry.incarnation
            for member in self._fresh_members()
            if member.near and member.entry.state == READY
        ]

    def some(self, count):
        """Return some live incarnations, of this and of other cells."""
        near = self.live_peers()
        far = [
            member.entry.incarnation
            for member in self._fresh_members()
            if not member.near
        ]
        chosen = self._random.sample(near, min(count, len(near)))
        return chosen + self._random.sample(far, min(2, len(far)))

    def witness(self):
        """Return the router that witnesses this one's own reservations."""
        ready = self._ready_peers()
        if not ready:
            return None
        return rendezvous(self._incarnation, ready)[0]

    def homes(self, shard, kind="ledger"):
        """Return the cell's ready routers, the home of a shard first."""
        key = f"{kind}/{shard}"
        order = self._homes.get(key)
        if order is None:
            ready = self._ready_peers()
            if self._own.state == READY:
                ready.append(self._incarnation)
            order = rendezvous(key, ready) or [self._incarnation]
            self._homes[key] = order
        return order

    def home(self, shard, kind="ledger"):
        """Return the home of a shard in this cell."""
        return self.homes(shard, kind)[0]

    def delegates(self, kind, least, share):
        """Return the addresses of the routers that do something for all.

        Each router names nearly the same ones.  They change rarely: a dead
        one stays for a while, and its next run takes its place.  Of two parts
        of the same kind the smaller one is within the other.

        :param kind: what they do
        :param least: how many they are at least, if there are so many
        :param share: part of the cell that they are
        :returns: the same list as long as it names the same routers
        """
        part = (kind, least, share)
        delegates = self._delegates.get(part)
        if part not in self._delegates_fresh:
            self._delegates_fresh.add(part)
            candidates = self._steady_addresses()
            if delegates is None or candidates != delegates.candidates:
                count = max(least, int(share * len(candidates)))
                order = rendezvous(f"delegates/{kind}", candidates)
                delegates = _Delegates(candidates, order[:count])
                self._delegates[part] = delegates
        return delegates.chosen

    def _steady_addresses(self):
        age = DELEGATE_SECONDS * self._stretch(DELEGATES_WELL_HEARD)
        limit = self._clock.steady() - age
        addresses = {
            member.address
            for member in self._members.values()
            if member.near
            and member.seen > limit
            and member.entry.state != LEAVING
        }
        addresses |= self._presumed_live()
        if self._own.state != LEAVING:
            addresses.add(self._address)
        return addresses

    def _presumed_live(self):
        """Return the listed addresses of which nothing was heard yet.

        For a while after the start their routers are taken for live.  Where
        all start again at once, one that waits for heartbeats takes itself
        for alone; the list names those that did something for all.
        """
        if self._clock.steady() > self._started + DELEGATE_SECONDS:
            return set()
        heard = {member.address for member in self._members.values()}
        return {*self._listed} - heard - {self._address}

    def newest_config(self):
        """Return the entry with the newest configuration version."""
        return max(self.live(), key=lambda entry: entry.config)
