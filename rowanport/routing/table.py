"""The routing configuration of a gateway.

A table is one complete, immutable version of it.  Adapters create tables from
the operator's configuration format, which this module is independent of.
"""

import enum

from ..hashing import fraction


class RouteKind(enum.Enum):
    """Whether requests of a route may be repeated.

    IDEMPOTENT requests may run more than once, NON_IDEMPOTENT ones at most
    once.  The answer to a STREAM request is an event stream; the request may
    run more than once only if the route is resumable.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


class Route:
    """A route from a host and path prefix to weighted services.

    :ivar name: name of the route
    :ivar host: host name in lower case
    :ivar prefix: path prefix, with a slash at both ends
    :ivar kind: the RouteKind
    :ivar targets: (service name, weight) pairs
    :ivar timeout: time-out of a request in seconds
    :ivar objective: latency objective in seconds; later answers do not count
        in full
    :ivar max_sends: most upstreams to which one request may be sent
    :ivar priority: rank, 0 is the highest
    :ivar public: whether requests need no API key
    :ivar resumable: whether a stream may be resumed at another upstream
    :ivar gap_objective: objective for the longest pause between two events in
        seconds, 0 if there is none
    """

    __slots__ = (
        "name",
        "host",
        "prefix",
        "kind",
        "targets",
        "timeout",
        "objective",
        "max_sends",
        "priority",
        "public",
        "resumable",
        "gap_objective",
    )

    def __init__(
        self,
        name,
        host,
        prefix,
        kind,
        targets,
        timeout,
        objective,
        max_sends=1,
        priority=0,
        public=False,
        resumable=False,
        gap_objective=0.0,
    ):
        self.name = name
        self.host = host
        self.prefix = prefix
        self.kind = kind
        self.targets = targets
        self.timeout = timeout
        self.objective = objective
        self.max_sends = max_sends
        self.priority = priority
        self.public = public
        self.resumable = resumable
        self.gap_objective = gap_objective

    @property
    def repeatable(self):
        """Return whether requests may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.resumable
        )

    def service_for(self, request_id):
        """Return the name of the service for a request, chosen by weight.

        The choice is a hash of the request id, so equal ids get the same
        service.
        """
        total = sum(weight for _name, weight in self.targets)
        point = fraction(request_id) * total
        for name, weight in self.targets:
            if point < weight:
                return name
            point -= weight
        return self.targets[-1][0]


class EngineLimits:
    """What the engines of a service hold and can do.

    :ivar slots: requests that an engine runs at once, 0 if unknown
    :ivar memory_tokens: tokens that an engine's memory holds, 0 if unknown
    :ivar token_bytes: bytes of memory for each token
    :ivar link_rate: bytes a second that an engine's link passes, 0 if unknown
    :ivar moves: whether a run can be moved to another engine on request
    :ivar backups: whether an engine can copy a run as it grows
    :ivar handle_seconds: seconds for which an engine keeps an unused copy
    """

    __slots__ = (
        "slots",
        "memory_tokens",
        "token_bytes",
        "link_rate",
        "moves",
        "backups",
        "handle_seconds",
    )

    def __init__(
        self,
        slots=0,
        memory_tokens=0,
        token_bytes=0,
        link_rate=0.0,
        moves=False,
        backups=False,
        handle_seconds=0.0,
    ):
        self.slots = slots
        self.memory_tokens = memory_tokens
        self.token_bytes = token_bytes
        self.link_rate = link_rate
        self.moves = moves
        self.backups = backups
        self.handle_seconds = handle_seconds


class Service:
    """A service that is provided by a group of upstreams.

    :ivar name: name of the service
    :ivar health_path: path of the upstreams' health check
    :ivar max_connections: most connections that one upstream accepts in
        total
    :ivar tokens_per_event: most tokens in one event of a stream
    :ivar cold_start: seconds for which an upstream is cold after its start
    :ivar cold_rate: requests a second that a cold upstream bears, 0 if there
        is no limit
    :ivar engine: the EngineLimits of its upstreams
    """

    __slots__ = (
        "name",
        "health_path",
        "max_connections",
        "tokens_per_event",
        "cold_start",
        "cold_rate",
        "engine",
    )

    def __init__(
        self,
        name,
        health_path,
        max_connections,
        tokens_per_event,
        cold_start=0.0,
        cold_rate=0.0,
        engine=None,
    ):
        self.name = name
        self.health_path = health_path
        self.max_connections = max_connections
        self.tokens_per_event = tokens_per_event
        self.cold_start = cold_start
        self.cold_rate = cold_rate
        self.engine = engine or EngineLimits()


class Organisation:
    """An organisation that sends requests.

    :ivar name: name of the organisation
    :ivar keys: its API keys
    :ivar prepaid: total number of tokens paid for, None for no limit
    :ivar priority: rank that overrides the priority of routes, or None
    """

    __slots__ = ("name", "keys", "prepaid", "priority")

    def __init__(self, name, keys, prepaid=None, priority=None):
        self.name = name
        self.keys = keys
        self.prepaid = prepaid
        self.priority = priority


class Limits:
    """Limits on requests of callers.

    :ivar head: largest head of a request in bytes
    :ivar body: largest body of a request in bytes
    :ivar head_timeout: time-out in seconds for reading a head, or a body
    :ivar idle_timeout: longest wait in seconds for the first byte of a request
    """

    __slots__ = ("head", "body", "head_timeout", "idle_timeout")

    def __init__(self, head, body, head_timeout, idle_timeout):
        self.head = head
        self.body = body
        self.head_timeout = head_timeout
        self.idle_timeout = idle_timeout


class RoutingTable:
    """One version of routes, services, organisations and limits.

    :ivar version: version number
    :ivar services: Services by name
    :ivar organisations: Organisations by name
    :ivar limits: the Limits
    """

    __slots__ = (
        "version",
        "services",
        "organisations",
        "limits",
        "_by_host",
        "_by_key",
    )

    def __init__(self, version, routes, services, organisations, limits):
        self.version = version
        self.services = {service.name: service for service in services}
        self.organisations = {item.name: item for item in organisations}
        self.limits = limits
        self._by_key = {
            key: organisation
            for organisation in organisations
            for key in organisation.keys
        }
        self._by_host = {}
        for route in routes:
            by_prefix = self._by_host.setdefault(route.host, {})
            by_prefix[route.prefix] = route

    @property
    def requires_keys(self):
        """Return whether requests need an API key on non-public routes."""
        return bool(self.organisations)

    def find_route(self, host, path):
        """Return the Route with the longest matching prefix, or None.

        :param host: Host header of the request, with or without a port
        :param path: path of the request without its query
        """
        by_prefix = self._by_host.get(host.partition(":")[0].lower())
        if not by_prefix:
            return None
        end = len(path)
        while True:
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route

    def find_organisation(self, key):
        """Return the Organisation that owns an API key, or None."""
        return self._by_key.get(key)
