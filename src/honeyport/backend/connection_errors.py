"""Classification of connection failures to backend servers."""

from honeyport import errors


def root_cause(error: BaseException) -> BaseException:
    """Return the operating system's error behind a closed stream.

    Tornado raises ``StreamClosedError`` with the cause in ``real_error``.
    """
    return getattr(error, 'real_error', None) or error


def error_class(cause: BaseException) -> type[errors.NotSent]:
    """Return the error for a connection that could not be made."""
    if isinstance(cause, ConnectionRefusedError):
        return errors.ConnectionRefused
    return errors.NotSent
