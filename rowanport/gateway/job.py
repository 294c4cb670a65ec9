"""One request on its way through the gateway."""

from ..errors import ErrorKind
from ..errors import RequestError
from ..hashing import hash_of


class Tokens:
    """What a request costs at its most.

    :ivar prompt: tokens of the prompt, counted once a request
    :ivar most: most tokens of the answer
    :ivar per_event: most tokens that one event of the answer holds
    """

    __slots__ = ("prompt", "most", "per_event")

    def __init__(self, prompt, most, per_event=1):
        self.prompt = prompt
        self.most = most
        self.per_event = per_event

    @property
    def worst(self):
        """Return the tokens that a request uses at its most."""
        return self.prompt + self.most


class Job:
    """A request with what was decided about it.

    :ivar request: the HttpRequest
    :ivar id: the caller's id of it
    :ivar route: the Route in force when it was read
    :ivar service: name of the service that it goes to
    :ivar fingerprint: what it shares with the same request sent again
    :ivar organisation: the Organisation, or None on a public route
    :ivar tokens: its Tokens, or None if it uses none
    :ivar affinity: what it should be near, "" for nothing
    :ivar prefix: hash of that, for routers to tell each other
    :ivar shared: prompt tokens that it shares with others
    :ivar deadline: steady time at which the caller has its answer or none
    :ivar caller_deadline: steady time until which the caller waits
    :ivar tried: UpstreamRuns that are not tried again
    :ivar sends: upstreams that it was sent to, rejections included
    :ivar runs: sends that may have been run
    :ivar rejections: sends that an upstream rejected
    :ivar failed_connections: sends for which there was no connection
    :ivar reserved: tokens of its budget that are set aside for it
    :ivar upstream: id of the upstream that it was last sent to, or None
    :ivar backlog: prompt tokens that it had still to read when it was
        chosen, None before the first choice
    :ivar last_event: number of the last event passed on, or None
    :ivar events: events passed on
    :ivar first_event_at: steady time of the first event, or None
    :ivar last_event_at: steady time of the last event, or None
    :ivar longest_pause: longest time in seconds between two events
    :ivar whole: whether the answer was passed on whole
    :ivar view_age: seconds since the list of upstreams was known to hold, as
        the last send went out, or None
    """

    __slots__ = (
        "request",
        "id",
        "route",
        "service",
        "organisation",
        "fingerprint",
        "tokens",
        "affinity",
        "prefix",
        "shared_tokens",
        "arrived",
        "deadline",
        "caller_deadline",
        "tried",
        "sends",
        "runs",
        "rejections",
        "failed_connections",
        "reserved",
        "upstream",
        "backlog",
        "last_event",
        "events",
        "first_event_at",
        "last_event_at",
        "longest_pause",
        "complete",
        "config",
        "view_age",
    )

    def __init__(self, request, id_, route, service, arrived):
        self.request = request
        self.id = id_
        self.route = route
        self.service = service
        self.arrived = arrived
        self.organisation = None
        self.fingerprint = 0
        self.tokens = None
        self.affinity = ""
        self.prefix = 0
        self.shared_tokens = 0
        self.deadline = arrived + route.timeout
        self.caller_deadline = self.deadline
        self.tried = set()
        self.sends = 0
        self.runs = 0
        self.rejections = 0
        self.failed_connections = 0
        self.reserved = 0
        self.upstream = None
        self.backlog = None
        self.last_event = None
        self.events = 0
        self.first_event_at = None
        self.last_event_at = None
        self.longest_pause = 0.0
        self.complete = False
        self.config = 0
        self.view_age = None

    @property
    def budget(self):
        """Return the name of the budget that it draws on, or None."""
        if self.tokens is None or self.organisation is None:
            return None
        if self.organisation.prepaid is None:
            return None
        return self.organisation.name

    @property
    def priority(self):
        """Return its rank, 0 the highest."""
        own = self.organisation and self.organisation.priority
        return self.route.priority if own is None else own

    @property
    def used(self):
        """Return the tokens that it used, or may have used."""
        if not self.runs:
            return 0
        if self.runs > 1:
            return self.reserved
        if not self.complete:
            return self.tokens.worst
        return self.tokens.worst - self.remaining_tokens

    @property
    def remaining_tokens(self):
        """Return the tokens that a run may make beyond what was passed on."""
        if self.tokens is None:
            return 0
        made = self.events * self.tokens.per_event
        return self.tokens.most - min(self.tokens.most, made)

    @property
    def spent(self):
        """Return the tokens that it surely used, by what was passed on.

        The last event may hold fewer tokens than the others.
        """
        if not self.events:
            return 0
        made = (self.events - 1) * self.tokens.per_event + 1
        return self.tokens.prompt + min(self.tokens.most, made)

    def record_events(self, events, now):
        """Count some Events that are about to be passed on."""
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            pause = now - self.last_event_at
            self.longest_pause = max(self.longest_pause, pause)
        self.last_event_at = now
        self.last_event = events[-1].id
        self.events += len(events)


class Admission:
    """Turns requests into Jobs by the configuration in force.

    :param dialect: a Dialect
    :param fingerprints: the Fingerprints
    """

    def __init__(self, dialect, fingerprints):
        self._dialect = dialect
        self._fingerprints = fingerprints

    def admit(self, request, table, now):
        """Return the Job of a request.

        :param table: the RoutingTable, or None while none is known
        :raises RequestError: it is not allowed
        """
        if table is None:
            raise RequestError(ErrorKind.NOT_READY, "no configuration yet")
        path = request.path.partition("?")[0]
        route = table.find_route(request.header("host"), path)
        if route is None:
            raise RequestError(ErrorKind.UNKNOWN_PATH, "no such route")
        name = request.header(self._dialect.request_id)
        job = Job(request, name, route, route.service_for(name), now)
        job.config = table.version
        self._identify(job, table)
        organisation = job.organisation.name if job.organisation else ""
        job.fingerprint = self._fingerprints.compute(request, organisation)
        self._read_deadline(job, now)
        self._read_tokens(job, table)
        self._read_affinity(job)
        return job

    def _identify(self, job, table):
        if job.route.public or not table.requires_keys:
            return
        key = job.request.header(self._dialect.key)
        job.organisation = table.find_organisation(key)
        if job.organisation is None:
            raise RequestError(ErrorKind.UNAUTHENTICATED, "unknown key")

    def _read_deadline(self, job, now):
        text = job.request.header(self._dialect.timeout_ms)
        if not text:
            return
        job.caller_deadline = now + _read_number(text) / 1000
        job.deadline = min(job.deadline, job.caller_deadline)

    def _read_tokens(self, job, table):
        text = job.request.header(self._dialect.tokens)
        if not text:
            return
        prompt, _, most = text.partition(",")
        job.tokens = Tokens(
            _read_number(prompt),
            _read_number(most or "0"),
            table.services[job.service].tokens_per_event,
        )

    def _read_affinity(self, job):
        text = job.request.header(self._dialect.prefix)
        if not text:
            return
        parts = [part.strip().partition(":") for part in text.split(",")]
        # The last part is the request's own; what comes before is shared.
        shared = parts[:-1] or parts
        job.affinity = ",".join(name for name, _, _ in shared)
        job.prefix = hash_of(job.affinity)
        job.shared_tokens = sum(
            _read_number(tokens) for _, _, tokens in shared
        )


def _read_number(text):
    try:
        number = int(text.strip())
    except ValueError:
        number = -1
    if number < 0:
        raise RequestError(ErrorKind.MALFORMED, "not a whole number")
    return number
