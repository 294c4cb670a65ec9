"""Load patterns: what callers send, and when."""

import math


class Kind:
    """One kind of request.

    :ivar name: how tables call it
    :ivar per_second: requests a second of the whole fleet
    :ivar shared: (mean tokens, spread, most, number of things) of each shared
        part of a prompt, the most common first
    :ivar own: (mean tokens, spread, most) of the part that is its own
    :ivar answer: (mean tokens, spread, most) of its answer
    :ivar objective: seconds within which its first event is due
    :ivar pause: longest pause in seconds between two events
    :ivar patience: seconds that its callers wait for the first event
    :ivar worth: what one in time is worth, and one that comes late
    :ivar priority: rank of its route, 0 the most urgent
    """

    __slots__ = (
        "name",
        "per_second",
        "shared",
        "own",
        "answer",
        "objective",
        "pause",
        "patience",
        "worth",
        "priority",
    )

    def __init__(self, name, per_second, **fields):
        self.name = name
        self.per_second = per_second
        for slot, value in fields.items():
            setattr(self, slot, value)


LONG = Kind(
    "long",
    8.25,
    shared=((2520, 0.4, 6290, 4), (3780, 0.7, 11300, 140)),
    own=(2890, 1.0, 18300),
    answer=(52, 1.4, 208),
    objective=1.0,
    pause=0.3,
    patience=6.0,
    worth=(6.4, 1.9),
    priority=0,
)
SHORT = Kind(
    "short",
    28.0,
    shared=((119, 0.4, 298, 8), (79, 0.7, 238, 475)),
    own=(628, 1.0, 3310),
    answer=(287, 0.69, 678),
    objective=1.2,
    pause=0.3,
    patience=15.0,
    worth=(1.0, 0.3),
    priority=1,
)


# What a fleet of hundreds serves: more of longer prompts, due sooner.
LARGE_LONG = Kind(
    "long",
    41.0,
    shared=((2520, 0.4, 6290, 4), (7800, 0.7, 30000, 500)),
    own=(3400, 1.1, 50000),
    answer=(90, 1.4, 400),
    objective=0.82,
    pause=0.4,
    patience=8.0,
    worth=(3.0, 1.5),
    priority=0,
)
LARGE_SHORT = Kind(
    "short",
    33.0,
    shared=((210, 0.4, 524, 15), (140, 0.7, 419, 499)),
    own=(1110, 1.0, 3790),
    answer=(171, 0.89, 600),
    objective=0.61,
    pause=0.4,
    patience=15.0,
    worth=(0.36, 0.18),
    priority=1,
)


class LoadPattern:
    """When how much of which kind is sent, by whom and to what engines.

    :ivar routers: how many there are
    :ivar kinds: the long and the short Kind
    :ivar slowness: times as long as usual that each engine takes
    :ivar slots: runs at once of each engine
    :ivar rate: prompt tokens that each reads in a millisecond
    :ivar jumps: (from second, to second, times as much, kind's name or None)
    :ivar hot: part of the long requests that are about one thing
    :ivar leaving: part of the callers that leave before half the objective
    :ivar restarts: seconds at which all routers forget what they know
    """

    __slots__ = (
        "routers",
        "kinds",
        "slowness",
        "slots",
        "rate",
        "jumps",
        "hot",
        "leaving",
        "restarts",
    )

    def __init__(self, **fields):
        self.routers = 7
        self.kinds = (LONG, SHORT)
        self.slowness = (1.0, 1.0, 1.3, 1.0, 1.0, 1.3)
        self.slots = 128
        self.rate = 32.4
        self.jumps = ()
        self.hot = 0.0
        self.leaving = 0.0
        self.restarts = ()
        for slot, value in fields.items():
            setattr(self, slot, value)

    def factor(self, kind, second):
        """Return times as much of a Kind as usual that comes at a second."""
        factor = 1.0
        for begin, end, times, name in self.jumps:
            if begin <= second < end and name in (None, kind.name):
                factor *= times
        return factor


def _large(slowness, **fields):
    """Return the LoadPattern of a fleet of 195 routers."""
    return LoadPattern(
        routers=195,
        kinds=(LARGE_LONG, LARGE_SHORT),
        slots=64,
        rate=50.7,
        slowness=slowness,
        **fields,
    )


# Of 39 engines each third one takes a little longer.
_USUAL = (1.0, 1.0, 1.3)

PATTERNS = {
    "mixed": LoadPattern(),
    "jump": LoadPattern(jumps=((8.0, 16.0, 2.0, None),)),
    "hot-key": LoadPattern(hot=0.5, jumps=((8.0, 16.0, 1.5, "long"),)),
    "slow": LoadPattern(slots=32, rate=22.0),
    "few": LoadPattern(slowness=(1.0, 1.0, 1.3)),
    "restart": LoadPattern(restarts=(10.0,)),
    "leaving": LoadPattern(leaving=0.4, jumps=((8.0, 16.0, 1.6, None),)),
    "large": _large(13 * _USUAL),
    "large-slow": _large(11 * _USUAL + (1.0,) + 5 * (5.0,)),
    "large-few": _large(4 * _USUAL + (1.0, 1.0)),
}


class Prompts:
    """Draws prompts whose shared parts come again and again.

    :param rng: a random.Random
    """

    # How much more often common things come than rare ones.
    _SKEW = 0.3

    def __init__(self, kind, rng):
        self._kind = kind
        self._rng = rng
        self._sizes = [
            [draw(rng, mean, spread, most) for _thing in range(things)]
            for mean, spread, most, things in kind.shared
        ]
        things = kind.shared[-1][-1]
        # Each thing is always about the same common part.
        common = len(self._sizes[0])
        self._common = [rng.randrange(common) for _thing in range(things)]
        self._weights = [1 / (n + 1) ** self._SKEW for n in range(things)]
        self._drawn = 0

    def draw(self, is_hot):
        """Return the parts of one more prompt."""
        things = range(len(self._weights))
        thing = 0 if is_hot else self._rng.choices(things, self._weights)[0]
        name = self._kind.name
        common = self._common[thing]
        self._drawn += 1
        return [
            (f"{name}/{common}", self._sizes[0][common]),
            (f"{name}/{common}/{thing}", self._sizes[1][thing]),
            (f"{name}-{self._drawn}", draw(self._rng, *self._kind.own)),
        ]


def draw(rng, mean, spread, most):
    """Return a whole number of tokens, lognormal and bounded."""
    sigma = math.sqrt(math.log(1 + spread**2))
    mu = math.log(mean) - sigma**2 / 2
    return max(1, int(min(most, rng.lognormvariate(mu, sigma))))
