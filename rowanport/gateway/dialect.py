"""Names of the headers that callers and upstreams use."""


class Dialect:
    """Header names, in lower case, and paths of engines.

    :ivar request_id: the request's id, repeated in each answer
    :ivar timeout_ms: milliseconds that the sender waits for the answer
    :ivar key: the caller's API key
    :ivar organisation: the organisation on whose behalf a request runs
    :ivar expected_instance: id of the only upstream that may run the request
    :ivar not_executed: set by an upstream that did not run the request
    :ivar signature: set by an upstream to sign the answer as its own
    :ivar rate_limit: requests a second that an upstream accepts from all
        routers together, in effect as long as its answers name it
    :ivar leaving: set by an upstream that leaves, in all its answers
    :ivar retry_after: seconds for which an upstream that refused a request
        wants no other of this router; the name is that of HTTP, so a caller
        gets its own from a router
    :ivar instance: id of the upstream, in the answer to a health check
    :ivar cold_ms: milliseconds for which an upstream is cold, in the answer to
        a health check
    :ivar tokens: tokens of the prompt and maximum tokens of the answer
    :ivar prefix: parts of the prompt as ID:TOKENS, separated by commas
    :ivar priority: the request's priority at the upstream, 0 the highest
    :ivar last_event: id of the last event received from a resumed stream
    :ivar resumes: id of the caller's request that began the stream which it
        takes up
    :ivar backup_to: address of the engine to which a run is copied as it grows
    :ivar resume_from: address and handle of the copy from which a run goes on
    :ivar handle_path: path under which an engine frees the copy of a run, up
        to the handle
    :ivar move_path: path by which an engine copies a run to another one
    :ivar report_path: path of an engine's report on its state
    :ivar orders: other headers by which a router controls an upstream
    :ivar hints: other headers of callers that affect an upstream's decisions
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
        "leaving",
        "retry_after",
        "instance",
        "cold_ms",
        "tokens",
        "prefix",
        "priority",
        "last_event",
        "resumes",
        "backup_to",
        "resume_from",
        "handle_path",
        "move_path",
        "report_path",
        "orders",
        "hints",
    )

    def __init__(self, **names):
        for slot in self.__slots__:
            setattr(self, slot, names[slot])

    @property
    def router_request_headers(self):
        """Return the headers of requests that only a router may set.

        They are removed from callers' requests.
        """
        return (
            self.key,
            self.organisation,
            self.expected_instance,
            self.timeout_ms,
            self.priority,
            self.last_event,
            self.backup_to,
            self.resume_from,
            *self.orders,
        )

    @property
    def router_answer_headers(self):
        """Return the headers of answers that only routers may see.

        They are removed from the answers to callers.
        """
        return (self.not_executed, self.cold_ms, self.instance)

    @property
    def end_to_end(self):
        """Return the headers that are never treated as hop-by-hop."""
        return (
            "host",
            self.request_id,
            self.signature,
            self.tokens,
            self.prefix,
            *self.hints,
        )
