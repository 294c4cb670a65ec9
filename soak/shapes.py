"""Shapes of traffic: routes, callers, upstreams and bounds of a theme."""

from .channel import EARLY
from .channel import HALF
from .channel import PIPELINED
from .channel import PLAIN
from .channel import SLOW
from .history import Record

# Least seconds without an event after which a caller gives a stream up.
LEAST_GAP = 2.0


class Ask(Record):
    """A kind of request.

    :ivar path: prefix of its route
    :ivar repeatable: whether it may run more than once
    :ivar resumable: whether a broken stream of it may be resumed
    :ivar keyed: whether it carries its organisation's key
    :ivar timeout: the route's timeout in seconds
    :ivar sends: how many upstreams it may be sent to
    :ivar objective: seconds to the answer, or to a stream's first event
    :ivar pause: longest pause in seconds between events in time
    :ivar alike: whether all requests of a caller have one path and body
    """

    __slots__ = (
        "path",
        "repeatable",
        "resumable",
        "keyed",
        "timeout",
        "sends",
        "objective",
        "pause",
        "alike",
    )

    defaults = {"sends": 1, "objective": 0.5, "pause": 0.0, "alike": False}

    @property
    def streamed(self):
        return "stream" in self.path

    @property
    def gap(self):
        """Return the silence in seconds that ends a caller's patience."""
        if not self.streamed:
            return None
        return max(LEAST_GAP, 4 * self.objective, 8 * self.pause)


class Shape(Record):
    """How traffic looks while a theme's faults come.

    :ivar asks: kinds of requests, with weights
    :ivar patience: seconds that callers wait for an answer
    :ivar prompts: tokens in
    :ivar mosts: most tokens out
    :ivar upstreams: how many there are, and slots of each
    :ivar faulty: every how manyth upstream has faults of its own
    :ivar pauses: seconds between two events of a stream, by upstream
    :ivar paid: prepaid tokens by second, of organisations that use more
    :ivar repeats: sends past the first of a request, by request and beyond
    :ivar takes_up: whether callers take broken streams up at another router
    :ivar cold: whether upstreams stand in several data centres, and are cold
        after their start
    :ivar manners: of callers, with weights
    :ivar bodies: least bytes of a plain request, and of its answer
    :ivar graces: seconds from the signal to stop until the process is
        killed, by seed
    """

    __slots__ = (
        "asks",
        "patience",
        "prompts",
        "mosts",
        "upstreams",
        "slots",
        "faulty",
        "pauses",
        "paid",
        "repeats",
        "takes_up",
        "cold",
        "manners",
        "bodies",
        "graces",
    )

    defaults = {
        "asks": {
            Ask("/safe/", True, False, True, 3.0, 3): 2,
            Ask("/once/", False, False, True, 3.0): 2,
            Ask("/open/", True, False, False, 3.0, 3): 2,
            Ask("/stream/", True, True, True, 6.0, 3): 4,
            Ask("/plain-stream/", False, False, True, 6.0): 3,
        },
        "patience": (2.0, 5.0, 8.0),
        "prompts": (20, 60, 200),
        "mosts": (6, 30, 90),
        "upstreams": 4,
        "slots": 8,
        "faulty": 2,
        "pauses": (0.02, 0.06, 0.15),
        "paid": 150,
        "repeats": (0.2, 54),
        "takes_up": False,
        "cold": False,
        "manners": {PLAIN: 1},
        "bodies": (0,),
        "graces": (8.0,),
    }


USUAL = Shape()
# Streams that last as long as their routes allow, and few upstreams.
STREAMS = {
    Ask("/long-stream/", True, True, True, 15.0, 2, 0.6, 0.4): 4,
    Ask("/stream/", True, True, True, 12.0, 2, 0.8, 0.4): 4,
    Ask("/plain-stream/", False, False, True, 6.0, 1, 0.8, 0.4): 2,
}
LONG_STREAMS = {
    "asks": {
        Ask("/safe/", True, False, True, 3.0, 2): 1,
        Ask("/once/", False, False, True, 3.0): 1,
        **STREAMS,
    },
    "patience": (6.0, 15.0, 15.0),
    "mosts": (30, 150, 600),
    "upstreams": 3,
    "slots": 16,
    "faulty": 3,
    "pauses": (0.06, 0.15, 0.3),
    "paid": 1500,
}
SHAPES = {
    # Hardly a repeat: what falls silent can often go on nowhere else.
    "pauses": Shape(**LONG_STREAMS, repeats=(0.05, 4)),
    # Nothing but long streams, so that another send hardly ends in a stop.
    "streams": Shape(
        **{**LONG_STREAMS, "asks": STREAMS, "pauses": (0.15, 0.3)}
    ),
    # Every upstream breaks answers off, and all callers can pay.
    "breaks": Shape(faulty=1, paid=1500),
    # Requests that come again, and upstreams enough to go on with.
    "lethal": Shape(
        asks={
            **USUAL.asks,
            Ask("/poll/", True, False, True, 3.0, 3, alike=True): 3,
        },
        upstreams=8,
        paid=1500,
    ),
    "parts": Shape(upstreams=8, paid=1500),
    "limits": Shape(upstreams=6, paid=1500),
    # Callers of repeatable requests, and a slack that one router can use up.
    "refusing": Shape(
        asks={
            Ask("/safe/", True, False, True, 3.0, 3): 2,
            Ask("/open/", True, False, False, 3.0, 3): 2,
            Ask("/stream/", True, True, True, 6.0, 3): 4,
        },
        faulty=6,
        paid=1500,
        repeats=(0.02, 24),
    ),
    # Streams that break off often, and callers that take them up.
    "versions": Shape(
        asks={
            Ask("/safe/", True, False, True, 3.0, 3): 1,
            Ask("/stream/", True, True, True, 8.0, 3): 9,
        },
        upstreams=6,
        faulty=3,
        mosts=(60, 120),
        paid=5000,
        repeats=(1.0, 200),
        takes_up=True,
    ),
    "evacuations": Shape(upstreams=6, faulty=6, paid=1500, cold=True),
    "answers": Shape(upstreams=6, faulty=6, paid=1500),
    "rests": Shape(upstreams=6, faulty=6, paid=1500),
    "severed": Shape(upstreams=6, faulty=6, paid=1500),
    # Callers wait long enough to be served through a full link.
    "links": Shape(upstreams=6, paid=1500, patience=(5.0, 8.0)),
    "callers": Shape(
        **LONG_STREAMS,
        manners={PLAIN: 5, SLOW: 4, PIPELINED: 4, EARLY: 4, HALF: 1},
        bodies=(0, 90000),
        graces=(3.0, 5.0, 8.0, 15.0, 30.0),
    ),
}


def shape_of(theme):
    """Return the Shape of a theme's traffic."""
    return SHAPES.get(theme, USUAL)
