"""Set up structured logs: a line only for a change of state."""

import logging
import sys

import structlog


def set_up(settings, **bound):
    """Send log lines to standard error.

    :param settings: LogSettings
    :param bound: what each line carries, such as the instance's name
    """
    level = getattr(logging, settings.level.upper())
    render = (
        structlog.processors.JSONRenderer()
        if settings.json
        else structlog.processors.KeyValueRenderer(
            key_order=["timestamp", "level", "event"]
        )
    )
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            render,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    structlog.contextvars.bind_contextvars(**bound)
