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
    rate_limit="server-limit",
    leaving="server-leaving",
    retry_after="retry-after",
    instance="x-rowanport-instance-id",
    cold_ms="x-rowanport-cold-ms",
    tokens="x-rowanport-token-count",
    prefix="x-rowanport-prompt-prefix",
    priority="priority",
    last_event="last-event-id",
    resumes="resumes",
    backup_to="kv-backup",
    resume_from="kv-from",
    handle_path="/kv-handle/",
    move_path="/kv-move",
    report_path="/report",
    # The pages let only the system set these; an upstream reserves, pins and
    # fetches memory by them.
    orders=(
        "expect-version",
        "hold",
        "kv-fetch",
        "pin-ms",
        "wait-ms",
    ),
    hints=("length-hint", "x-rowanport-model"),
)
