"""The view one router has of the fleet, from heartbeats that spread.

Each router raises its own counter; counters travel by gossip, a bounded
number of entries a message, so that the bytes a router spends do not grow
with the fleet.  A router is alive while its counter still rises.  Nothing
that must be safe depends on this view.
"""

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
GREETINGS = 8
STARTING = "starting"
READY = "ready"
LEAVING = "leaving"
_RANK = {STARTING: 0, READY: 1, LEAVING: 2}


class _Member:
    """One known router and when its counter last rose.

    :ivar suspected: whether a call went unanswered since then
    """

    __slots__ = ("entry", "seen", "suspected")

    def __init__(self, entry, seen):
        self.entry = entry
        self.seen = seen
        self.suspected = False


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
        self._homes = {}
        self._delegates = {}

    # Own entry

    @property
    def own(self):
        """Return this router's own entry."""
        return self._own

    def set_state(self, state):
        """Say whether this router is starting, ready or leaving."""
        self._own.state = state
        self._homes.clear()
        self._delegates.clear()

    def set_config(self, version):
        """Say which configuration is in force here."""
        self._own.config = version

    def set_seeds(self, addresses):
        """Give the peer addresses that the settings name."""
        self._seeds = list(addresses)

    def set_listed(self, addresses):
        """Give the peer addresses that the platform lists."""
        self._listed = list(addresses)

    # Gossip

    def tick(self):
        """Raise the own counter; return (address, Gossip) pairs to send."""
        self._own.beat += 1
        self._forget()
        message = self._message()
        return [(address, message) for address in self._targets()]

    def greetings(self):
        """Return (address, Gossip) pairs for listed routers not known yet.

        A router that just started hears of the others a round earlier.
        """
        unknown = sorted(self._unknown_seeds())
        count = min(GREETINGS, len(unknown))
        message = self._message()
        chosen = self._random.sample(unknown, count)
        return [(address, message) for address in chosen]

    def _unknown_seeds(self):
        known = {self._address, *map(address_of, self._members)}
        return {*self._seeds, *self._listed} - known

    def _targets(self):
        near = [name for name in self._members if self._near(name)]
        far = [name for name in self._members if not self._near(name)]
        unknown = self._unknown_seeds()
        count = min(self._settings.fanout, len(near))
        targets = self._random.sample(near, count)
        if targets:
            targets[0] = self._stalest(near)
        targets = [address_of(name) for name in targets]
        if unknown:
            targets.append(self._random.choice(sorted(unknown)))
        # Two routers of a cell, on average, call another cell each round.
        if far and self._random.random() * (len(near) + 1) < 2:
            targets.append(address_of(self._random.choice(far)))
        return targets

    def _stalest(self, near):
        """Return whose heartbeat is the oldest, before it is suspected.

        Asking it directly keeps a large cell from suspecting a router whose
        heartbeats merely were not passed on.
        """
        fresh = [name for name in near if self._is_fresh(self._members[name])]
        return min(fresh or near, key=lambda name: self._members[name].seen)

    def _near(self, incarnation):
        """Return whether a router is of this cell."""
        return cell_of(incarnation) == self._cell

    def _message(self):
        """Return a Gossip of the own entry and some fresh ones.

        Half of them are the newest, so that a heartbeat spreads while it is
        news; the rest is random, so that none is left out for long.
        """
        near = [
            member
            for name, member in self._members.items()
            if self._near(name) and self._is_fresh(member)
        ]
        near.sort(key=lambda member: -member.seen)
        count = self._settings.entries - 1
        newest = near[: count // 2]
        rest = near[count // 2 :]
        count = min(count - len(newest), len(rest))
        chosen = [*newest, *self._random.sample(rest, count)]
        return Gossip([self._own, *(member.entry for member in chosen)])

    def receive(self, message):
        """Take in a Gossip; return the one to answer with."""
        now = self._clock.steady()
        for entry in message.members:
            self._take(entry, now)
        return self._message()

    def _take(self, entry, now):
        if entry.incarnation == self._incarnation:
            return
        known = self._members.get(entry.incarnation)
        if known is None:
            self._members[entry.incarnation] = _Member(entry, now)
            self._drop_older(entry)
            self._homes.clear()
        elif entry.beat > known.entry.beat:
            if entry.state != known.entry.state:
                self._homes.clear()
            if _RANK[entry.state] < _RANK[known.entry.state]:
                entry.state = known.entry.state
            if known.suspected:
                known.suspected = False
                self._homes.clear()
            known.entry = entry
            known.seen = now

    def _drop_older(self, entry):
        """Forget earlier incarnations at the same address."""
        for name, member in list(self._members.items()):
            same = address_of(name) == address_of(entry.incarnation)
            if same and name != entry.incarnation:
                if not self._is_fresh(member):
                    del self._members[name]

    def _forget(self):
        limit = self._clock.steady() - self._settings.forget_after
        for name, member in list(self._members.items()):
            if member.seen < limit:
                del self._members[name]
        self._homes.clear()
        self._delegates.clear()

    def _is_fresh(self, member):
        if member.suspected:
            return False
        age = self._clock.steady() - member.seen
        return age < self._stretch(WELL_HEARD) * self._settings.suspect_after

    def _stretch(self, well_heard):
        """Return how much slower news come than in a small fleet."""
        return max(1.0, len(self._members) / well_heard)

    # Views

    def live(self):
        """Return the entries of all routers that seem alive, own first."""
        others = [m.entry for m in self._members.values() if self._is_fresh(m)]
        return [self._own, *others]

    def is_alive(self, incarnation):
        """Return whether a router seems alive."""
        if incarnation == self._incarnation:
            return True
        member = self._members.get(incarnation)
        return member is not None and self._is_fresh(member)

    def is_known(self, incarnation):
        """Return whether a router is remembered, alive or not."""
        return incarnation in self._members

    def suspect(self, incarnation):
        """Take a router for dead until its counter rises again."""
        member = self._members.get(incarnation)
        if member is not None:
            member.suspected = True
            self._homes.clear()

    def entries(self):
        """Return the incarnations of the cell that may ask for tokens."""
        others = self.others()
        if others:
            return others
        # Alone in the cell, a home serves its own entry unwitnessed.
        return [self._incarnation]

    def others(self):
        """Return the other live incarnations of the cell."""
        return [
            entry.incarnation
            for entry in self.live()[1:]
            if self._near(entry.incarnation)
        ]

    def ready_others(self):
        """Return the other live and ready incarnations of the cell."""
        ready = [
            entry.incarnation
            for entry in self.live()[1:]
            if self._near(entry.incarnation) and entry.state == READY
        ]
        self._random.shuffle(ready)
        return ready

    def some(self, count):
        """Return some live incarnations, of this and of other cells."""
        others = [entry.incarnation for entry in self.live()[1:]]
        far = [name for name in others if not self._near(name)]
        near = [name for name in others if self._near(name)]
        chosen = self._random.sample(near, min(count, len(near)))
        return chosen + self._random.sample(far, min(2, len(far)))

    def witness(self):
        """Return the router that witnesses this one's own reservations."""
        ready = [
            entry.incarnation
            for entry in self.live()[1:]
            if self._near(entry.incarnation) and entry.state == READY
        ]
        if not ready:
            return None
        return rendezvous(self._incarnation, ready)[0]

    def homes(self, shard, kind="ledger"):
        """Return the cell's ready routers, the home of a shard first."""
        key = f"{kind}/{shard}"
        order = self._homes.get(key)
        if order is None:
            ready = [
                entry.incarnation
                for entry in self.live()
                if self._near(entry.incarnation) and entry.state == READY
            ]
            order = rendezvous(key, ready) or [self._incarnation]
            self._homes[key] = order
        return order

    def home(self, shard, kind="ledger"):
        """Return the home of a shard in this cell."""
        return self.homes(shard, kind)[0]

    def delegates(self, kind, least, share):
        """Return the addresses of the routers that do something for all.

        Each router names nearly the same ones.  They change rarely: a dead
        one stays for a while, and its next run takes its place.

        :param kind: what they do
        :param least: how many they are at least, if there are so many
        :param share: part of the cell that they are
        """
        chosen = self._delegates.get(kind)
        if chosen is None:
            addresses = self._steady_addresses()
            count = max(least, int(share * len(addresses)))
            chosen = rendezvous(f"delegates/{kind}", addresses)[:count]
            self._delegates[kind] = chosen
        return chosen

    def _steady_addresses(self):
        age = DELEGATE_SECONDS * self._stretch(DELEGATES_WELL_HEARD)
        limit = self._clock.steady() - age
        addresses = {
            address_of(name)
            for name, member in self._members.items()
            if self._near(name)
            and member.seen > limit
            and member.entry.state != LEAVING
        }
        if self._own.state != LEAVING:
            addresses.add(self._address)
        return addresses

    def newest_config(self):
        """Return the entry with the newest configuration version."""
        return max(self.live(), key=lambda entry: entry.config)
