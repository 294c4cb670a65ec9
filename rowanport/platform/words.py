"""The platform's header names, as the gateway's Dialect."""

from ..gateway.dialect import Dialect

DIALECT = Dialect(
    request_id="x-rowanport-request-id",
    timeout_ms="x-rowanport-deadline-ms",
    key="api-key",
    organisation="x-rowanport-tenant",
    expected_instance="x-rowanport-expect-instance",
    not_executed="x-rowanport-not-executed",
    signature="x-rowanport-server-stamp",
    tokens="x-rowanport-token-count",
    prefix="x-rowanport-prompt-prefix",
    priority="priority",
    last_event="last-event-id",
)
