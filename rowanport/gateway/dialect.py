"""Names of the headers that callers and upstreams speak."""


class Dialect:
    """Header names, in lower case.

    :ivar request_id: the request's id, repeated by each answer
    :ivar timeout_ms: milliseconds that the sender will wait
    :ivar key: the caller's API key
    :ivar organisation: the organisation that a request runs for
    :ivar expected_instance: id of the only upstream that may run it
    :ivar not_executed: an upstream's word that it did not run the request
    :ivar signature: an upstream's proof that the answer is its own
    :ivar rate_limit: requests a second that an upstream takes from all routers
        together, for as long as its answers name it
    :ivar tokens: tokens of the prompt and most tokens of the answer
    :ivar prefix: parts of the prompt as ID:TOKENS
    :ivar priority: rank for the upstream, 0 the first
    :ivar last_event: id of the last event of a stream that has arrived
    :ivar orders: further headers by which a router steers an upstream
    :ivar facts: further headers of answers that are for routers only
    :ivar hints: further headers of callers by which an upstream decides
    """

    __slots__ = (
        "request_id",
        "timeout_ms",
        "key",
        "organisation",
        "expected_instance",
        "not_executed",
        "signature",
        "rate_limit",
        "tokens",
        "prefix",
        "priority",
        "last_event",
        "orders",
        "facts",
        "hints",
    )

    def __init__(self, **names):
        for slot in self.__slots__:
            setattr(self, slot, names[slot])

    @property
    def routers_own(self):
        """Return the headers that no upstream gets as a caller sent them.

        A router sets them itself or not at all.
        """
        return (
            self.key,
            self.organisation,
            self.expected_instance,
            self.timeout_ms,
            self.priority,
            self.last_event,
            *self.orders,
        )

    @property
    def answers_own(self):
        """Return the headers of answers that no caller gets."""
        return (self.not_executed, *self.facts)

    @property
    def end_to_end(self):
        """Return the headers that are never those of one connection."""
        return (
            "host",
            self.request_id,
            self.signature,
            self.tokens,
            self.prefix,
            *self.hints,
        )
