"""The configuration that a gateway routes by.

A table is one version, whole and never changed.  It is read from whatever
an operator's store holds by an adapter; nothing here knows that form.
"""

import enum

from ..hashing import fraction


class RouteKind(enum.Enum):
    """What may be repeated on a route.

    IDEMPOTENT requests may run more than once, NON_IDEMPOTENT ones at most
    once.  STREAM is an answer of events; it is not idempotent unless the
    route says that it may be resumed.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


class Route:
    """One route.

    :ivar host: host name in lower case
    :ivar prefix: path prefix, with a slash at both ends
    :ivar kind: a RouteKind
    :ivar targets: (service name, weight) pairs
    :ivar timeout: longest time in seconds that a request is held
    :ivar objective: seconds within which an answer counts in full
    :ivar max_sends: most upstreams that one request may be sent to
    :ivar priority: rank, 0 the highest
    :ivar public: whether requests carry no key
    :ivar resumable: whether a stream may go on at another upstream
    :ivar gap_objective: longest pause in seconds between two events that
        still counts as in time; 0 if none is told
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
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.resumable
        )

    def service_for(self, request_id):
        """Return the service that a request goes to, by weight.

        The same request id always goes to the same one.
        """
        total = sum(weight for _name, weight in self.targets)
        point = fraction(request_id) * total
        for name, weight in self.targets:
            if point < weight:
                return name
            point -= weight
        return self.targets[-1][0]


class Service:
    """One service of upstreams.

    :ivar health_path: path that an upstream answers about its health
    :ivar max_connections: connections that one upstream takes in all
    :ivar tokens_per_event: most tokens that one event of a stream holds
    """

    __slots__ = ("name", "health_path", "max_connections", "tokens_per_event")

    def __init__(self, name, health_path, max_connections, tokens_per_event):
        self.name = name
        self.health_path = health_path
        self.max_connections = max_connections
        self.tokens_per_event = tokens_per_event


class Organisation:
    """One organisation.

    :ivar keys: its API keys
    :ivar prepaid: tokens it has paid for in all, None for no bound
    :ivar priority: rank that goes before its routes', or None
    """

    __slots__ = ("name", "keys", "prepaid", "priority")

    def __init__(self, name, keys, prepaid=None, priority=None):
        self.name = name
        self.keys = keys
        self.prepaid = prepaid
        self.priority = priority


class Limits:
    """What callers may send; sizes in bytes, times in seconds."""

    __slots__ = ("head", "body", "head_timeout", "idle_timeout")

    def __init__(self, head, body, head_timeout, idle_timeout):
        self.head = head
        self.body = body
        self.head_timeout = head_timeout
        self.idle_timeout = idle_timeout


class RoutingTable:
    """One version of routes, services, organisations and limits."""

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
        """Return whether requests carry a key, unless a route is public."""
        return bool(self.organisations)

    def find_route(self, host, path):
        """Return the Route with the longest prefix of a path, or None."""
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
        """Return the Organisation that holds a key, or None."""
        return self._by_key.get(key)
