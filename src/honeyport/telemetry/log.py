"""Write log lines as JSON with numbered events."""

import logging
import typing

import structlog

from honeyport.telemetry import events
from honeyport.telemetry import output

STANDARD_OUTPUT = 1

LEVELS = {
    'debug': logging.DEBUG,
    'info': logging.INFO,
    'warning': logging.WARNING,
    'error': logging.ERROR,
}


def configure(
    level: str = 'info',
    *,
    descriptor: int = STANDARD_OUTPUT,
    **bound: typing.Any,
) -> None:
    """Configure logging of the process.

    :param level: minimum level of lines, a key of ``LEVELS``
    :param descriptor: file descriptor for the lines; set to non-blocking
    :param bound: fields that are added to every line, such as the instance
    """
    writer = output.Output(descriptor, _on_dropped)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=lambda *_: writer,
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(**bound)


def emit(event: events.Event, **fields: typing.Any) -> None:
    """Write a log line for an event of the catalogue.

    :param fields: values of the event, as further fields of the line
    """
    logger = structlog.get_logger()
    log_at_level = getattr(logger, event.level)
    log_at_level(event.name, number=event.number, **fields)


def _on_dropped(lines: int) -> None:
    emit(events.LINES_DROPPED, lines=lines)
