"""What callers, upstreams and the operator saw; times are steady seconds."""

import math

NEVER = math.inf
# The name of the platform's store among what faults disturb.
STORE = "store"
# A signal to reload is planned work that excuses nothing.
RELOAD = "hup"
# A signal to stop.
STOP = "term"
# A link that is slow with a load of its own: it excuses late answers, but no
# work for an upstream that left.
FULL = "full"
# Connections that were reset.
RESET = "reset"
# The links of routers to all upstreams are lost; they stay in touch.
SEVER = "sever"


class Record:
    """A plain record; values come by position or name, or from defaults.

    :cvar defaults: value by slot, of what need not be given
    """

    __slots__ = ()
    defaults = {}

    def __init__(self, *values, **named):
        for name, value in self.defaults.items():
            setattr(self, name, value)
        for name, value in zip(self.__slots__, values):
            setattr(self, name, value)
        for name, value in named.items():
            setattr(self, name, value)


class Request(Record):
    """One attempt of a caller.

    :ivar id: its own id
    :ivar router: name of the router that it was sent to
    :ivar life: which run of that router's process, counted from 1
    :ivar path: the whole path
    :ivar organisation: whose key it carried, "" on a public route
    :ivar repeatable: whether it may run more than once
    :ivar prompt: tokens in, 0 without tokens
    :ivar most: most tokens out
    :ivar sent_at: when its last byte was written
    :ivar until: when its caller, or its route's timeout, gives it up
    :ivar ended_at: when the answer was complete, or the connection ended
    :ivar status: of the answer, 0 without one
    :ivar outcome: "" while open, "whole", "cut", "unsent", or "left" if the
        caller closed it
    :ivar signed: whether an upstream's signature came with it
    :ivar wrong: how the answer is not the request's own, "" if it is
    :ivar short: whether nothing else is wrong than that the answer looks whole
        and lacks its end
    :ivar first: whether it is its caller's first try
    :ivar resumes: id of the request that began the stream which it takes up,
        "" if it takes up none
    :ivar after: number of the last event that its caller had before
    :ivar events: number of the last event that its caller has
    :ivar versions: versions that wrote its events
    """

    __slots__ = (
        "id",
        "path",
        "router",
        "life",
        "organisation",
        "repeatable",
        "prompt",
        "most",
        "sent_at",
        "until",
        "ended_at",
        "status",
        "outcome",
        "signed",
        "wrong",
        "short",
        "first",
        "resumes",
        "after",
        "events",
        "versions",
    )

    defaults = {
        "router": "",
        "life": 0,
        "organisation": "",
        "repeatable": True,
        "prompt": 0,
        "most": 0,
        "sent_at": 0.0,
        "until": NEVER,
        "ended_at": NEVER,
        "status": 0,
        "outcome": "",
        "signed": False,
        "wrong": "",
        "short": False,
        "first": True,
        "resumes": "",
        "after": 0,
        "events": 0,
        "versions": frozenset(),
    }

    @property
    def stream(self):
        """Return the id of the request that began its stream."""
        return self.resumes or self.id


class Run(Record):
    """One request at work at one upstream.

    :ivar request: the request's id
    :ivar upstream: name of the upstream
    :ivar path: as it arrived
    :ivar organisation: as the router named it, "" if it named none
    :ivar arrived_at: when it began
    :ivar ended_at: when it ended
    :ivar tokens: tokens handed out, by number of the event
    :ivar broke_off: whether the upstream itself broke the answer off
    :ivar crashed: whether it crashed the upstream
    :ivar sender: name of the router from whose link it came, "" if unknown
    :ivar says_leaving: whether its answer says that the upstream leaves
    :ivar unframed: whether its answer has no length and no chunks
    :ivar garbled: whether its answer holds bytes that the run did not make
    :ivar sent_whole: whether all of its answer was written to a connection
        that the router had not closed
    """

    __slots__ = (
        "request",
        "upstream",
        "path",
        "organisation",
        "arrived_at",
        "ended_at",
        "tokens",
        "broke_off",
        "crashed",
        "sender",
        "says_leaving",
        "unframed",
        "garbled",
        "sent_whole",
    )

    def __init__(self, request, upstream, arrived_at, path, organisation=""):
        super().__init__(request, upstream, path, organisation, arrived_at)
        self.ended_at = NEVER
        self.tokens = {}
        self.broke_off = False
        self.crashed = False
        self.sender = ""
        self.says_leaving = False
        self.unframed = False
        self.garbled = False
        self.sent_whole = False


class Version(Record):
    """A configuration that the store took.

    :ivar number: its version
    :ivar sent_at: when the operator sent it
    :ivar taken_at: when the store confirmed it
    :ivar totals: prepaid tokens by organisation
    """

    __slots__ = ("number", "sent_at", "taken_at", "totals")


class Probe(Record):
    """A question that shows which configuration a router goes by.

    :ivar version: the version whose own route was asked for
    :ivar known: whether the router knew the route
    """

    __slots__ = ("router", "life", "version", "sent_at", "ended_at", "known")


class Fault(Record):
    """Something that was done to the system.

    :ivar kind: what, as the plan calls it
    :ivar targets: names of processes that it disturbs; "*" for all routers
    :ivar planned: whether it is an operator's planned work
    :ivar begun: when it began
    :ivar ended: when it was over
    """

    __slots__ = ("kind", "targets", "begun", "ended", "planned")

    defaults = {"ended": NEVER, "planned": False}

    def touches(self, name, begun, ended):
        """Return whether it disturbed a process within a span."""
        if self.begun > ended or self.ended < begun:
            return False
        if "*" in self.targets and name != STORE:
            return True
        return name in self.targets


class Arrival(Record):
    """A request that reached an upstream, run or not.

    :ivar sender: name of the router from whose link it came, "" if unknown
    """

    __slots__ = ("upstream", "request", "at", "sender")

    defaults = {"sender": ""}


class Rest(Record):
    """A rest that an upstream asked a router for as it turned one away.

    :ivar router: name of the router that the refusal went to
    :ivar at: when it was sent
    :ivar until: end of the time that it named
    :ivar request: id of the refused request
    """

    __slots__ = ("upstream", "router", "at", "until", "request")


class Limit(Record):
    """A rate limit that an upstream named.

    :ivar rate: requests a second
    :ivar named_at: when an answer first named it, None before that
    :ivar ended: from when on no answer does
    """

    __slots__ = ("upstream", "rate", "named_at", "ended")

    defaults = {"named_at": None, "ended": NEVER}


class Evacuation(Record):
    """An evacuated data centre.

    :ivar taken_at: when the store confirmed the record
    :ivar ended: when the record was withdrawn
    """

    __slots__ = ("data_centre", "taken_at", "ended")

    defaults = {"ended": NEVER}


class Cold(Record):
    """A span in which an upstream was cold."""

    __slots__ = ("upstream", "since", "until")


class Leave(Record):
    """An upstream that leaves, as the store confirmed it."""

    __slots__ = ("upstream", "taken_at")


class Serving(Record):
    """An upstream, from when it is listed until it leaves or ends."""

    __slots__ = ("upstream", "version", "begun", "ended")

    defaults = {"ended": NEVER}


class Readiness(Record):
    """One answer of a router to the balancer's question."""

    __slots__ = ("router", "life", "at", "ready")


class OwnEnd(Record):
    """A process that ended without having been told to."""

    __slots__ = ("router", "at", "code")


class Bounds(Record):
    """The platform's bounds in seconds, as the settings give them.

    :ivar repeats: arrivals beyond the first of their requests that the fleet
        may cause within a window, by request and beyond
    :ivar repeat_window: length of that window
    :ivar evacuate: until an evacuated data centre gets no new work
    :ivar cold_requests: most requests that reach a cold upstream in a second
    :ivar outlive: for which an upstream lives on after an answer without a
        length, at the least, for its end to count as its own
    """

    __slots__ = (
        "contact",
        "drain",
        "grace",
        "apply",
        "rollback",
        "slack",
        "repeats",
        "repeat_window",
        "evacuate",
        "cold_requests",
        "outlive",
    )

    defaults = {
        "contact": 3.0,
        "drain": 3.0,
        "grace": 8.0,
        "apply": 2.0,
        "rollback": 0.25,
        "slack": 0.2,
        "repeats": (0.2, 54),
        "repeat_window": 10.0,
        "evacuate": 5.0,
        "cold_requests": 4.5,
        "outlive": 0.3,
    }


class History:
    """All that was seen, in the order in which it was written down.

    :ivar questions: Arrivals of health checks, with empty request ids
    :ivar data_centres: data centre by upstream
    :ivar upstream_ends: when the processes of upstreams ended, by name
    :ivar calm_at: from when on nothing is disturbed any more
    """

    def __init__(self, bounds=None):
        self.bounds = bounds or Bounds()
        self.requests = {}
        self.runs = []
        self.versions = []
        self.probes = []
        self.faults = []
        self.leaves = []
        self.serving = []
        self.arrivals = []
        self.limits = []
        self.rests = []
        self.questions = []
        self.evacuations = []
        self.colds = []
        self.data_centres = {}
        self.upstream_ends = {}
        self.readiness = []
        self.own_ends = []
        self.failed_tasks = []
        self.calm_at = NEVER

    def in_touch(self, router, begun, ended=None, despite=()):
        """Return whether a router was in touch throughout a span.

        :param despite: kinds of faults that do not count
        """
        begun -= self.bounds.contact
        ended = begun + self.bounds.contact if ended is None else ended
        return not any(
            fault.touches(name, begun, ended)
            for fault in self.faults
            if fault.kind != RELOAD and fault.kind not in despite
            for name in (router, STORE)
        )

    def lived_on(self, run):
        """Return whether the upstream of a run lived on for some time."""
        ended_at = self.upstream_ends.get(run.upstream, NEVER)
        return ended_at >= run.ended_at + self.bounds.outlive

    def runs_of(self):
        """Return lists of Run by id, of the requests that were sent."""
        runs = {}
        for run in self.runs:
            if run.request in self.requests:
                runs.setdefault(run.request, []).append(run)
        return runs
