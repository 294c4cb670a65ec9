"""What a gateway must be told."""


class GatewaySettings:
    """Who a gateway is, where it listens, and what binds it.

    Addresses are texts of IP number and port, times are seconds.

    :ivar name: the instance's name, for logs
    :ivar data_centre: where it stands
    :ivar region: routers of one region share configuration and tokens
    :ivar callers: address for callers
    :ivar health: address for readiness and metrics
    :ivar peers: address for other routers
    :ivar seeds: addresses of other routers, which may be old
    :ivar secret: what all routers share
    :ivar stop_grace: time from the signal to stop until the process is
        killed
    :ivar retry_ratio: repeated sends for each request that the fleet may
        make within a window
    :ivar retry_slack: repeated sends beyond that, for the whole fleet
    :ivar retry_window: length of that window
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
    )

    def __init__(self, **values):
        for slot in self.__slots__:
            setattr(self, slot, values[slot])


def split_address(text):
    """Return host and port of an address."""
    host, _, port = text.rpartition(":")
    return host, int(port)
