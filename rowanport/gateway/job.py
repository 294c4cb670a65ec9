"""A request that the gateway has admitted, and its admission."""

import itertools

from ..errors import ErrorKind
from ..errors import RequestError
from ..event_streams import parse_id
from ..hashing import hash_of

# Most parts of a prompt that crashes may be blamed on, so that one request
# cannot fill the tables of suspects.
MAX_PARTS = 16


class Tokens:
    """The maximum token usage of a request.

    :ivar prompt: tokens of the prompt, counted once per request
    :ivar max_completion: maximum tokens of the answer
    :ivar per_event: maximum tokens in one event of the answer
    """

    __slots__ = ("prompt", "max_completion", "per_event")

    def __init__(self, prompt, max_completion, per_event=1):
        self.prompt = prompt
        self.max_completion = max_completion
        self.per_event = per_event

    @property
    def max_total(self):
        """Return the maximum tokens of prompt and answer together."""
        return self.prompt + self.max_completion


class Job:
    """An admitted request and the state of its processing.

    :ivar request: the HttpRequest
    :ivar id: the request id that the caller set
    :ivar route: the Route that was active when it was admitted
    :ivar service: name of the service that it goes to
    :ivar fingerprint: hash that a repeated request has in common with it
    :ivar parts: fingerprints of the parts of its prompt before the last one
    :ivar trial: fingerprint of the blocked part that it tries again, or None
    :ivar blocked_by: fingerprint as text of the suspect for which it was
        refused, or None
    :ivar organisation: the Organisation, or None on a public route
    :ivar tokens: its Tokens, or None if it names none
    :ivar affinity: ids of the prompt's shared parts, by which an upstream with
        a cached prefix is found; "" for none
    :ivar prefix: hash of the affinity, as routers report it to each other
    :ivar shared_tokens: prompt tokens in the shared parts
    :ivar prefixes: (hash, prompt tokens) of each run of leading shared parts,
        the longest first, which is that of ``prefix``
    :ivar arrived: monotonic time of its arrival
    :ivar deadline: monotonic time at which the request fails if unanswered
    :ivar caller_deadline: monotonic time until which the caller waits
    :ivar tried: UpstreamRuns that must not be tried again
    :ivar sends: number of sends, rejected ones included
    :ivar runs: sends that an upstream may have executed
    :ivar arrivals: sends of which at least one byte was sent
    :ivar retry_permits: monotonic times until which acquired retries, each of
        which allows another arrival, are valid
    :ivar rejections: sends that an upstream rejected
    :ivar failed_connections: sends that failed for lack of a connection
    :ivar reserved: tokens of its budget that are reserved for it
    :ivar upstream: id of the upstream that it was last sent to, or None
    :ivar path: Path of the answer that was forwarded, or None
    :ivar framing: Framing of the upstream's answer that was forwarded, or None
    :ivar end_reason: Reason for which that answer counts as whole, None if it
        told its own end
    :ivar backlog: prompt tokens queued at that upstream when it was chosen,
        None before the first choice
    :ivar last_event: id of the last event that the caller has, or None
    :ivar events: number of forwarded events
    :ivar repeated: events of its complete run that were left out, as the
        caller had them: the run made them all the same
    :ivar version: version of the upstreams at which alone it may go on, None
        before its first event
    :ivar takes_up: whether it takes up a stream of which the caller has events
    :ivar resumes: id of the earlier request whose stream it takes up, as the
        caller names it, or None
    :ivar migration: the Migration of its run, or None if there is no copy
    :ivar first_event_at: monotonic time of the first event, or None
    :ivar last_event_at: monotonic time of the last event, or None
    :ivar longest_pause: longest time in seconds between two events
    :ivar complete: whether the answer was forwarded completely
    :ivar config: version of the configuration that admitted it
    :ivar view_age: age in seconds of the view of the fleet at the last send,
        or None
    :ivar left_out: ids of the upstreams that were no choice at the last send
        as their answers keep requests away, by reason; None without any
    :ivar work: units of work by which it counts for fair shares
    :ivar background: whether it is expected to be late, and so runs with the
        lowest urgency
    """

    __slots__ = (
        "request",
        "id",
        "route",
        "service",
        "organisation",
        "fingerprint",
        "parts",
        "trial",
        "blocked_by",
        "tokens",
        "affinity",
        "prefix",
        "shared_tokens",
        "prefixes",
        "arrived",
        "deadline",
        "caller_deadline",
        "tried",
        "sends",
        "runs",
        "arrivals",
        "retry_permits",
        "rejections",
        "failed_connections",
        "reserved",
        "upstream",
        "path",
        "framing",
        "end_reason",
        "backlog",
        "last_event",
        "events",
        "repeated",
        "version",
        "takes_up",
        "resumes",
        "migration",
        "first_event_at",
        "last_event_at",
        "longest_pause",
        "complete",
        "config",
        "view_age",
        "left_out",
        "work",
        "background",
    )

    def __init__(self, request, id_, route, service, arrived):
        self.request = request
        self.id = id_
        self.route = route
        self.service = service
        self.arrived = arrived
        self.organisation = None
        self.fingerprint = 0
        self.parts = ()
        self.trial = None
        self.blocked_by = None
        self.tokens = None
        self.affinity = ""
        self.prefix = 0
        self.shared_tokens = 0
        self.prefixes = ()
        self.deadline = arrived + route.timeout
        self.caller_deadline = self.deadline
        self.tried = set()
        self.sends = 0
        self.runs = 0
        self.arrivals = 0
        self.retry_permits = []
        self.rejections = 0
        self.failed_connections = 0
        self.reserved = 0
        self.upstream = None
        self.path = None
        self.framing = None
        self.end_reason = None
        self.backlog = None
        self.last_event = None
        self.events = 0
        self.repeated = 0
        self.version = None
        self.takes_up = False
        self.resumes = None
        self.migration = None
        self.first_event_at = None
        self.last_event_at = None
        self.longest_pause = 0.0
        self.complete = False
        self.config = 0
        self.view_age = None
        self.left_out = None
        self.work = 0
        self.background = False

    @property
    def resuming(self):
        """Return whether its run is to go on from a copy."""
        return self.migration is not None and self.migration.place is not None

    @property
    def returning(self):
        """Return whether its run is to go on at the engine that stopped it."""
        if not self.resuming:
            return False
        return self.migration.place is self.migration.source

    @property
    def suspect_ids(self):
        """Return the fingerprints by which crashes may be blamed on it."""
        return (self.fingerprint, *self.parts)

    @property
    def budget(self):
        """Return the name of the prepaid budget that pays for it, or None."""
        if self.tokens is None or self.organisation is None:
            return None
        if self.organisation.prepaid is None:
            return None
        return self.organisation.name

    @property
    def priority(self):
        """Return the priority; 0 is the highest."""
        own = self.organisation and self.organisation.priority
        return self.route.priority if own is None else own

    @property
    def used(self):
        """Return the tokens that it used, or at most may have used."""
        if not self.runs:
            return 0
        if self.runs > 1:
            return self.reserved
        if not self.complete:
            return self.tokens.max_total
        repeated = self.repeated * self.tokens.per_event
        return self.tokens.max_total - max(0, self.remaining_tokens - repeated)

    @property
    def remaining_tokens(self):
        """Return the tokens that a run may generate beyond those forwarded."""
        if self.tokens is None:
            return 0
        generated = self.events * self.tokens.per_event
        return self.tokens.max_completion - min(
            self.tokens.max_completion, generated
        )

    @property
    def spent(self):
        """Return the tokens that it used at least, from the forwarded events.

        The last event may hold fewer tokens than the others.
        """
        if not self.events:
            return 0
        generated = (self.events - 1) * self.tokens.per_event + 1
        return self.tokens.prompt + min(self.tokens.max_completion, generated)

    def record_events(self, events, now):
        """Record some Events that are about to be forwarded."""
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            pause = now - self.last_event_at
            self.longest_pause = max(self.longest_pause, pause)
        self.last_event_at = now
        if events[-1].id is not None:
            self.last_event = events[-1].id
        self.events += len(events)


class Admission:
    """Turns requests into Jobs by the active configuration.

    :param dialect: a Dialect
    :param fingerprints: the Fingerprints
    """

    def __init__(self, dialect, fingerprints):
        self._dialect = dialect
        self._fingerprints = fingerprints

    def admit(self, request, table, now):
        """Return the Job of a request.

        :param table: the RoutingTable, or None while none is known
        :param now: monotonic time of its arrival
        :raises RequestError: the request is not admitted
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
        last = request.header(self._dialect.last_event)
        job.takes_up = route.resumable and bool(last)
        if job.takes_up:
            job.resumes = request.header(self._dialect.resumes) or None
            job.last_event = parse_id(last.encode())
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
        prompt, _, completion = text.partition(",")
        job.tokens = Tokens(
            _read_number(prompt),
            _read_number(completion or "0"),
            table.services[job.service].tokens_per_event,
        )

    def _read_affinity(self, job):
        text = job.request.header(self._dialect.prefix)
        if not text:
            return
        parts = [part.strip().partition(":") for part in text.split(",")]
        # The last part is specific to the request; those before are shared.
        job.parts = self._fingerprints_of(job.service, parts[:-1])
        shared = parts[:-1] or parts
        job.affinity = ",".join(name for name, _, _ in shared)
        job.prefix = hash_of(job.affinity)
        sizes = [_read_number(tokens) for _, _, tokens in shared]
        job.shared_tokens = sum(sizes)
        names = [name for name, _, _ in shared]
        job.prefixes = _leading_parts(names[:MAX_PARTS], sizes)
        if len(names) > MAX_PARTS:
            whole = (job.prefix, job.shared_tokens)
            job.prefixes = (whole, *job.prefixes)

    def _fingerprints_of(self, service, parts):
        """Return the fingerprints of some parts of a prompt, each once."""
        names = dict.fromkeys(name for name, _, _ in parts[:MAX_PARTS])
        return tuple(
            self._fingerprints.compute_part(service, name) for name in names
        )


def _leading_parts(names, sizes):
    """Return (hash, tokens) of each run of leading parts, longest first.

    :param names: ids of the parts
    :param sizes: prompt tokens of the parts
    """
    totals = itertools.accumulate(sizes)
    leading = itertools.accumulate(names, "{},{}".format)
    rows = [(hash_of(name), total) for name, total in zip(leading, totals)]
    return tuple(reversed(rows))


def _read_number(text):
    try:
        number = int(text.strip())
    except ValueError:
        number = -1
    if number < 0:
        raise RequestError(ErrorKind.MALFORMED, "not a non-negative integer")
    return number
