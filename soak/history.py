"""What callers, upstreams and the operator saw; times are steady seconds."""

import math

NEVER = math.inf
# The name of the platform's store among what faults disturb.
STORE = "store"


class Request:
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
    """

    __slots__ = (
        "id",
        "router",
        "life",
        "path",
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
    )

    def __init__(self, id_, path, **values):
        self.id = id_
        self.path = path
        self.router = ""
        self.life = 0
        self.organisation = ""
        self.repeatable = True
        self.prompt = 0
        self.most = 0
        self.sent_at = 0.0
        self.until = NEVER
        self.ended_at = NEVER
        self.status = 0
        self.outcome = ""
        self.signed = False
        self.wrong = ""
        for name, value in values.items():
            setattr(self, name, value)


class Run:
    """One request at work at one upstream.

    :ivar request: the request's id
    :ivar upstream: name of the upstream
    :ivar path: as it arrived
    :ivar organisation: as the router named it, "" if it named none
    :ivar arrived_at: when it began
    :ivar ended_at: when it ended
    :ivar tokens: tokens handed out, by number of the event
    :ivar broke_off: whether the upstream itself broke the answer off
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
    )

    def __init__(self, request, upstream, arrived_at, path, organisation=""):
        self.request = request
        self.upstream = upstream
        self.path = path
        self.organisation = organisation
        self.arrived_at = arrived_at
        self.ended_at = NEVER
        self.tokens = {}
        self.broke_off = False


class Version:
    """A configuration that the store took.

    :ivar number: its version
    :ivar sent_at: when the operator sent it
    :ivar taken_at: when the store confirmed it
    :ivar totals: prepaid tokens by organisation
    """

    __slots__ = ("number", "sent_at", "taken_at", "totals")

    def __init__(self, number, sent_at, taken_at, totals):
        self.number = number
        self.sent_at = sent_at
        self.taken_at = taken_at
        self.totals = totals


class Probe:
    """A question that shows which configuration a router goes by.

    :ivar version: the version whose own route was asked for
    :ivar known: whether the router knew the route
    """

    __slots__ = ("router", "life", "version", "sent_at", "ended_at", "known")

    def __init__(self, router, life, version, sent_at, ended_at, known):
        self.router = router
        self.life = life
        self.version = version
        self.sent_at = sent_at
        self.ended_at = ended_at
        self.known = known


class Fault:
    """Something that was done to the system.

    :ivar kind: what, as the plan calls it
    :ivar targets: names of processes that it disturbs; "*" for all routers
    :ivar planned: whether it is an operator's planned work
    :ivar begun: when it began
    :ivar ended: when it was over
    """

    __slots__ = ("kind", "targets", "planned", "begun", "ended")

    def __init__(self, kind, targets, begun, ended=NEVER, planned=False):
        self.kind = kind
        self.targets = frozenset(targets)
        self.begun = begun
        self.ended = ended
        self.planned = planned

    def touches(self, name, begun, ended):
        """Return whether it disturbed a process within a span."""
        if self.begun > ended or self.ended < begun:
            return False
        if "*" in self.targets and name != STORE:
            return True
        return name in self.targets


class Leave:
    """An upstream that leaves, as the store confirmed it."""

    __slots__ = ("upstream", "taken_at")

    def __init__(self, upstream, taken_at):
        self.upstream = upstream
        self.taken_at = taken_at


class Readiness:
    """One answer of a router to the balancer's question."""

    __slots__ = ("router", "life", "at", "ready")

    def __init__(self, router, life, at, ready):
        self.router = router
        self.life = life
        self.at = at
        self.ready = ready


class OwnEnd:
    """A process that ended without having been told to."""

    __slots__ = ("router", "at", "code")

    def __init__(self, router, at, code):
        self.router = router
        self.at = at
        self.code = code


class Bounds:
    """The platform's bounds in seconds, as the settings give them."""

    __slots__ = ("contact", "drain", "grace", "apply", "rollback", "slack")

    def __init__(
        self,
        contact=3.0,
        drain=3.0,
        grace=8.0,
        apply=2.0,
        rollback=0.25,
        slack=0.2,
    ):
        self.contact = contact
        self.drain = drain
        self.grace = grace
        self.apply = apply
        self.rollback = rollback
        self.slack = slack


class History:
    """All that was seen, in the order in which it was written down.

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
        self.readiness = []
        self.own_ends = []
        self.failed_tasks = []
        self.calm_at = NEVER

    def in_touch(self, router, begun, ended=None):
        """Return whether a router was in touch throughout a span."""
        begun -= self.bounds.contact
        ended = begun + self.bounds.contact if ended is None else ended
        return not any(
            fault.touches(name, begun, ended)
            for fault in self.faults
            for name in (router, STORE)
        )

    def runs_of(self):
        """Return lists of Run by id, of the requests that were sent."""
        runs = {}
        for run in self.runs:
            if run.request in self.requests:
                runs.setdefault(run.request, []).append(run)
        return runs
