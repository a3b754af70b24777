"""How a planned stop divides the node's `drain_seconds`, for the services that hold transactions.

A transaction has the first part. What runs when that is over gets the rest, so that also the last
statement of a transaction, or its COMMIT, ends with its answer.
"""

from bramblebeam.settings.model import NodeSettings

TRANSACTION_SHARE = 0.5
"""Part of `drain_seconds` in which open transactions may run further statements."""


def transaction_seconds(settings: NodeSettings) -> float:
    """Return for how long after the stop signal a transaction may run statements (seconds)."""
    return settings.drain_seconds * TRANSACTION_SHARE
