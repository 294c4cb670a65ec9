"""Selects the replica of a request by free room."""

# Seconds for which a replica that turned a request away comes last: by then
# its queue has moved on, or another router has told.
REJECTION_SECONDS = 0.5
# Relative excess of the expected time to answer up to which a local replica
# is as good as the best one, and from which on it gets no preference.  The
# best of several estimates is low by chance: with a quarter instead, one
# request in twelve left its data centre without need.
EQUAL_EXCESS = 0.75
WORSE_EXCESS = 1.5
# Outstanding requests, in multiples of its slots, at which a replica has no
# room left: its queue holds about four times what it works on.
ROOM_SLOTS = 5.0
# Share of its room that a full replica counts with, as the state is old.
LEAST_ROOM = 0.05
# Replicas that are drawn by free room.  Of them the one with the fewest
# requests of this router is taken; with two, near saturation, queues filled
# up while the state that showed it was on its way.
DRAWS = 4
# Requests of this router by which a local replica may have more than another
# one and still be preferred, and the same while all its slots are in use.
LOCAL_BONUS = 2
BUSY_LOCAL_BONUS = 1


class Candidate:
    """A replica to which a request may be sent.

    :ivar local: whether it is in the router's own data centre
    :ivar slots: requests that it runs at once, 1 at least
    :ivar load: its ReplicaLoad
    :ivar speed: requests a second that it answers when it is busy
    :ivar delay: expected seconds until it would answer one more request
    """

    __slots__ = ("local", "slots", "load", "speed", "delay")

    def __init__(self, local, slots, load):
        self.local = local
        self.slots = max(1, slots)
        self.load = load
        self.speed = self.delay = 0.0

    def estimate(self, usual_seconds):
        """Estimate speed and delay from the recent answers.

        :param usual_seconds: time to answer if there were no answers
        """
        load = self.load
        seconds = load.seconds or usual_seconds
        # By Little's law, unless slots were idle.
        self.speed = max(load.outstanding, self.slots) / seconds
        self.delay = max(load.outstanding + 1, self.slots) / self.speed

    def is_accepting(self, now):
        """Return whether it turned no request away lately."""
        return now >= self.load.rejected_at + REJECTION_SECONDS

    @property
    def weight(self):
        """Return its part of random choices: free room, by its speed."""
        used = self.load.outstanding / (ROOM_SLOTS * self.slots)
        return self.speed * max(LEAST_ROOM, 1.0 - used)


def select(candidates, now, rng):
    """Return the position of the candidate to which a request is sent.

    The choice is random in proportion to free room, because all routers know
    the same state for half a second: would they all take the best replica, it
    would be the most loaded one by then.

    :param candidates: Candidates, at least one
    :param now: monotonic time in seconds
    :param rng: a random.Random
    """
    accepting = [one for one in candidates if one.is_accepting(now)]
    accepting = accepting or list(candidates)
    known = [one.load.seconds for one in accepting if one.load.seconds]
    usual = sum(known) / len(known) if known else 1.0
    for one in accepting:
        one.estimate(usual)
    local = [one for one in accepting if one.local]
    if local and rng.random() < _preference(local, accepting):
        accepting = local
    return candidates.index(_draw(accepting, rng))


def _preference(local, accepting):
    """Return the probability with which only local replicas count.

    It falls off evenly, so that the routers of a data centre do not all
    change their minds at once.
    """
    idle = any(one.load.outstanding < one.slots for one in local)
    bonus = LOCAL_BONUS if idle else BUSY_LOCAL_BONUS
    if _least_own(local) > _least_own(accepting) + bonus:
        return 0.0
    best = min(one.delay for one in accepting)
    excess = min(one.delay for one in local) / best - 1.0
    return (WORSE_EXCESS - excess) / (WORSE_EXCESS - EQUAL_EXCESS)


def _least_own(candidates):
    return min(one.load.own for one in candidates)


def _draw(candidates, rng):
    """Draw some by weight; return the one with fewest requests of this router.

    These are the only ones that are known without delay.
    """
    weights = [one.weight for one in candidates]
    drawn = rng.choices(candidates, weights, k=DRAWS)
    return min(drawn, key=lambda one: one.load.own)
