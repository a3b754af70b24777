"""Client of the platform's promotion service."""

from __future__ import annotations

import json

from bramblebeam.core.failover.lease import Lease
from bramblebeam.core.identity import Address, InstanceId, server_name
from bramblebeam.platform.http import HttpClient, HttpError
from bramblebeam.services.failover.ports import Order

_TARGET = "/promotions"
_HOLDER_HEADER = "X-Bramblebeam-Lease-Holder"
_TOKEN_HEADER = "X-Bramblebeam-Fence-Token"
_CONFLICT = 409
_THROTTLED = 429
_UNAVAILABLE = 503


class PromotionClient:
    """Orders promotions of databases to primary over HTTP."""

    def __init__(self, address: Address) -> None:
        self._address = address

    async def promote(self, lease: Lease, target: InstanceId, timeout: float) -> Order:
        """Order that `target` becomes primary of the lease's group, fenced by the lease's token."""
        body = json.dumps({"service": lease.group, "id": server_name(target)}).encode()
        # Includes the era: after a restore from a backup the store's number alone may be lower.
        headers = ((_HOLDER_HEADER, lease.holder), (_TOKEN_HEADER, str(lease.token.as_number)))
        client = HttpClient(self._address)
        try:
            answer = await client.call("POST", _TARGET, timeout, body, headers)
        except HttpError as error:
            return Order.UNKNOWN if error.sent else Order.NOT_DONE
        finally:
            client.close()
        if answer.status == _CONFLICT:
            return Order.REFUSED
        if answer.status in (_THROTTLED, _UNAVAILABLE):
            return Order.NOT_DONE
        return Order.ACCEPTED if answer.status < 300 else Order.UNKNOWN
