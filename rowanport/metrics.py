"""All metrics of a router; counters come before log lines."""

from aioprometheus import Counter
from aioprometheus import Gauge
from aioprometheus import Histogram
from aioprometheus import Registry
from aioprometheus import render

SECONDS = (0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0)


class MetricSet:
    """Metrics that are rendered together."""

    def __init__(self):
        self._registry = Registry()

    def _add(self, metric):
        self._registry.register(metric)
        return metric

    def _counter(self, name, text):
        return self._add(
            Counter(f"rowanport_{name}_total", text, registry=Registry())
        )

    def _gauge(self, name, text):
        return self._add(Gauge(f"rowanport_{name}", text, registry=Registry()))

    def _histogram(self, name, text):
        return self._add(
            Histogram(
                f"rowanport_{name}",
                text,
                buckets=SECONDS,
                registry=Registry(),
            )
        )

    def render(self):
        """Return the text of all metrics and its content type."""
        content, headers = render(self._registry, ["text/plain"])
        return content, headers.get("Content-Type", "text/plain")


class Metrics(MetricSet):
    """The metrics of one router, each with its own help and unit."""

    def __init__(self):
        super().__init__()
        counter = self._counter
        self.answers = counter("answers", "Answers by kind and outcome")
        self.billed_tokens = counter("billed_tokens", "Tokens settled")
        self.retries = counter("retries", "Retries by upstream group")
        self.upstream_failures = counter(
            "upstream_failures", "Failed upstream calls by group"
        )
        self.batches = counter("ledger_batches", "Ledger batches written")
        self.store_failures = counter(
            "store_failures", "Ledger store calls that failed, by kind"
        )
        self.lent_tokens = counter("lent_tokens", "Tokens borrowed")
        self.recoveries = counter(
            "ledger_recoveries", "Dead holders whose grants were recovered"
        )
        self.resolved_runs = counter(
            "resolved_runs", "Runs of dead entries settled by their home"
        )
        self.policy_failures = counter(
            "policy_failures", "Policy programs that failed at run time"
        )
        gauge = self._gauge
        self.config_version = gauge("config_version", "Version in force")
        self.live_routers = gauge("live_routers", "Routers seen alive")
        self.waiting = gauge("waiting", "Requests waiting, by group")
        self.granted = gauge("granted_tokens", "Tokens granted here")
        self.unsettled = gauge("unsettled", "Reservations not yet safe")
        self.store_calls = gauge("store_calls", "Store calls so far, by kind")
        self.peer_bytes = gauge("peer_sent_bytes", "Bytes sent to peers")
        self.first_token = self._histogram(
            "first_token_seconds", "Time to the first token"
        )
        self.reserve = self._histogram(
            "reserve_seconds", "Time to reserve tokens"
        )
        self.start = self._histogram(
            "start_seconds", "Time to record a start before it is sent"
        )
