"""Why a connection to a backend server could not be made, or broke."""

from honeyport import errors


def root_cause(error: BaseException) -> BaseException:
    """Return what broke a connection.

    Tornado says that its stream is closed, and keeps beside it why.
    """
    return getattr(error, 'real_error', None) or error


def error_class(found: BaseException) -> type[errors.NotSent]:
    """Return the error for a connection that could not be made."""
    if isinstance(found, ConnectionRefusedError):
        return errors.ConnectionRefused
    return errors.NotSent
