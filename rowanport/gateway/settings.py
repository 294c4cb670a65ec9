"""Settings of a gateway."""


class GatewaySettings:
    """Identity, addresses and limits of a gateway.

    Addresses are strings of IP and port, times are in seconds.

    :ivar name: the instance's name, for logs
    :ivar data_centre: name of its data centre
    :ivar region: name of its region, whose routers share configuration and
        tokens
    :ivar callers: address on which it listens for callers
    :ivar health: address on which it serves readiness and metrics
    :ivar peers: address on which it listens for other routers
    :ivar seeds: addresses of other routers, which may be outdated
    :ivar secret: secret that all routers share
    :ivar stop_grace: time from the stop signal until the process is killed
    :ivar retry_ratio: retries per request that the fleet may make within a
        window
    :ivar retry_slack: additional retries of the whole fleet within a window
    :ivar retry_window: length of that window
    :ivar link_rate: bytes a second that the instance's network link passes, 0
        if that is not known
    :ivar large_fleet: whether to use what only pays in a large fleet, whose
        routers each see a small part of the requests; None decides by the
        number of routers
    :ivar refused_callers_retry: whether callers whose connection is refused
        try another router.  Only then a router whose link fills up pauses in
        accepting connections; otherwise it reports itself not ready
    :ivar copy_cost: cost of a copied gigabyte of a run's memory, in the unit
        of lost_stream_cost
    :ivar lost_stream_cost: cost of a stream that ends with its engine, 0 if
        runs are not to be copied to other engines
    :ivar engine_failure_rate: failures a second of one engine
    """

    __slots__ = (
        "name",
        "data_centre",
        "region",
        "callers",
        "health",
        "peers",
        "seeds",
        "secret",
        "stop_grace",
        "retry_ratio",
        "retry_slack",
        "retry_window",
        "link_rate",
        "large_fleet",
        "refused_callers_retry",
        "copy_cost",
        "lost_stream_cost",
        "engine_failure_rate",
    )

    def __init__(self, **values):
        values.setdefault("link_rate", 0.0)
        values.setdefault("large_fleet", None)
        values.setdefault("refused_callers_retry", False)
        values.setdefault("copy_cost", 0.0)
        values.setdefault("lost_stream_cost", 0.0)
        values.setdefault("engine_failure_rate", 0.0)
        for slot in self.__slots__:
            setattr(self, slot, values[slot])


def split_address(text):
    """Return (host, port) of an address."""
    host, _, port = text.rpartition(":")
    return host, int(port)
