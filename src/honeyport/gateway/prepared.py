"""An attempt that can be made at once."""

import contextlib

import attrs

from honeyport.gateway import pool
from honeyport.policy import placement


class _Unsent(Exception):
    """Ends the contexts of an attempt that is not made."""


@attrs.frozen
class PreparedAttempt:
    """What an attempt needs, held until it has been made or released.

    :ivar has_permit: whether the leader permitted it
    :ivar resources: its permit, its slot, and its part of the load counts
    """

    choice: placement.Choice
    connection: pool.Connection
    has_permit: bool
    resources: contextlib.AsyncExitStack

    async def release(self) -> None:
        """Release the resources of an attempt that is not made."""
        with contextlib.suppress(_Unsent):
            async with self.resources:
                raise _Unsent
