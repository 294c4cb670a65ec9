"""Reads what the head of a refusal says of the upstream."""

import structlog

from ..errors import MessageError
from ..errors import UpstreamRefused
from ..notices import parse_backoff

LOG = structlog.get_logger(__name__)

LEAVING_HEADER = "x-leaving"
BACKOFF_HEADER = "retry-after"


def read_refusal(address, answer):
    """Return the UpstreamRefused of an answer with one of REFUSAL_STATUSES.

    A malformed time to back off is logged, and counts as none.

    :param address: the upstream's address
    :param answer: the HttpAnswer
    """
    seconds = 0.0
    try:
        seconds = parse_backoff(answer.headers.get(BACKOFF_HEADER))
    except MessageError as error:
        LOG.warning(
            "upstream_notice_unreadable",
            upstream=address,
            header=BACKOFF_HEADER,
            error=str(error),
        )
    return UpstreamRefused(
        f"{address} answered {answer.status}",
        LEAVING_HEADER in answer.headers,
        seconds,
    )
