"""The metrics of a gateway."""

from ..metrics import MetricSet


class GatewayMetrics(MetricSet):
    """The counters, gauges and histograms of a gateway, with their help."""

    def __init__(self):
        super().__init__()
        self.answers = self._counter("answers", "Answers by outcome")
        self.sends = self._counter("sends", "Sends to upstreams by outcome")
        self.exceeded_bounds = self._counter(
            "exceeded_bounds",
            "Connections closed as an answer or a caller went beyond a bound",
        )
        self.foreign_bytes = self._counter(
            "foreign_bytes",
            "Streams cut off at bytes that their run did not make, by kind",
        )
        self.connection_ends = self._counter(
            "connection_ends",
            "Answers without a length that ended in order, by verdict",
        )
        self.crashes = self._counter(
            "upstream_crashes", "Crashes of upstreams under own requests"
        )
        self.blocked_requests = self._gauge(
            "blocked_requests",
            "Requests, and parts of prompts, refused as they crash upstreams",
        )
        self.part_trials = self._counter(
            "part_trials", "Blocked parts of prompts that were tried again"
        )
        self.limited_upstreams = self._gauge(
            "limited_upstreams", "Upstreams that name a rate limit"
        )
        self.leaving_upstreams = self._gauge(
            "leaving_upstreams", "Upstreams whose answers say that they leave"
        )
        self.backed_off_upstreams = self._gauge(
            "backed_off_upstreams",
            "Upstreams that want no requests for a time",
        )
        self.backoffs = self._counter(
            "backoffs", "Refusals of upstreams that asked to back off"
        )
        self.permits = self._counter(
            "permits", "Permits to send to these, by outcome"
        )
        self.evacuated = self._gauge(
            "evacuated_data_centres", "Data centres that get no new requests"
        )
        self.unreadable_evacuations = self._gauge(
            "unreadable_evacuations", "Records of evacuations with odd content"
        )
        self.cold_upstreams = self._gauge(
            "cold_upstreams", "Upstreams that get few requests as they start"
        )
        self.cold_sends = self._counter(
            "cold_sends", "Sends to cold upstreams, by outcome"
        )
        self.cold_refusals = self._counter(
            "cold_refusals", "Requests refused as all upstreams are cold"
        )
        self.connection_waits = self._counter(
            "connection_waits",
            "Waits as all connections to a service are in use",
        )
        self.resumptions = self._counter(
            "resumptions", "Streams that callers take up, by outcome"
        )
        self.engine_samples = self._counter(
            "engine_samples", "First events reported as samples of engines"
        )
        self.engine_rate = self._gauge(
            "engine_rate", "Prompt tokens a second that an engine reads"
        )
        self.retries = self._counter(
            "retries", "Retries and hedges, by what they count against"
        )
        self.retry_loans = self._counter(
            "retry_loans", "Requests for permits of peers, by outcome"
        )
        self.retry_share = self._gauge(
            "retry_share", "Permits of the slack that this router has"
        )
        self.lost_upstream_links = self._gauge(
            "lost_upstream_links", "Upstreams not reached over the own link"
        )
        self.cut_off = self._gauge(
            "cut_off", "Whether the own link reaches no upstream"
        )
        self.relayed_connections = self._counter(
            "relayed_connections", "Connections through peers, by outcome"
        )
        self.diverts = self._gauge(
            "diverts_callers",
            "Whether new callers go elsewhere, as the own link fills up",
        )
        self.diverted = self._counter(
            "diverted_callers",
            "Requests refused and connections closed for a full link",
        )
        self.accept_pauses = self._counter(
            "accept_pauses", "Pauses in accepting connections for a full link"
        )
        self.link_share = self._gauge(
            "link_share", "Used part of the own link, in its fuller direction"
        )
        self.tunnels = self._gauge(
            "tunnels", "Connections relayed for peers now"
        )
        self.share_refusals = self._counter(
            "share_refusals", "Requests refused beyond fair shares, by service"
        )
        self.late_sends = self._counter(
            "late_sends", "Requests sent to be answered late, by service"
        )
        self.copies = self._counter(
            "copies", "Runs to be copied to another engine, by outcome"
        )
        self.resumed_runs = self._counter(
            "resumed_runs", "Runs resumed from their copy, by outcome"
        )
        self.loop_restarts = self._counter(
            "loop_restarts", "Loops started again after they ended"
        )
        self.loop_silent = self._gauge(
            "loop_silent_seconds", "Time since the last beat of a loop"
        )
        self.request = self._histogram(
            "request_seconds", "Time to the end of an answer"
        )
        self.first_event = self._histogram(
            "first_event_seconds", "Time to the first event of a stream"
        )
        self.tokens_held = self._gauge("tokens_held", "Tokens by budget")
        self.logs_dropped = self._gauge("logs_dropped", "Log lines dropped")
        self.config_version = self._gauge("config_version", "Version")
        self.view_age = self._gauge(
            "view_age_seconds", "Age of what is known of the fleet"
        )
        self.live_routers = self._gauge("live_routers", "Routers alive")
