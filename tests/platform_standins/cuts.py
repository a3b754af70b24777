"""Network cuts between an in-process node and databases, or nodes that change a primary."""

from bramblebeam.core.failover.messages import NO_ANSWER, StepDownReply, StepDownRequest
from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.identity import NodeId
from bramblebeam.core.tenants import TenantId
from bramblebeam.core.verdict import Reason
from bramblebeam.platform.database_connection import LineDatabaseConnection, LineDatabaseConnector
from bramblebeam.platform.node import PlatformNode
from bramblebeam.services.failover.service import FailoverService
from bramblebeam.services.gateway.pool import DatabasePool
from bramblebeam.services.gateway.ports import ConnectError, DatabaseConnector


class CutConnector(LineDatabaseConnector):
    """Connector that fails for the databases in `cut`."""

    def __init__(self) -> None:
        self.cut: set[str] = set()

    async def connect(
        self, entry: DatabaseEntry, tenant: TenantId, timeout: float
    ) -> LineDatabaseConnection:
        if entry.instance in self.cut:
            raise ConnectError(Reason.UNREACHABLE, "cut off")
        return await super().connect(entry, tenant, timeout)


def cut(node: PlatformNode, *names: str) -> None:
    """Cut a node off from databases and close its connections to them."""
    connector = CutConnector()
    connector.cut.update(names)
    _set_connector(node, connector)
    for pool in node.gateway.context.placement.pools.values():
        if pool.entry.instance in connector.cut:
            _close_connections(pool)
            for opening in pool._opening:
                opening.add_done_callback(lambda _, pool=pool: _close_connections(pool))  # type: ignore[misc]


def _close_connections(pool: DatabasePool) -> None:
    for connection in [*pool._idle, *pool._checked_out]:
        connection.connection.close()


def heal(node: PlatformNode) -> None:
    """Remove the cut of `cut()`."""
    _set_connector(node, LineDatabaseConnector())


def _set_connector(node: PlatformNode, connector: DatabaseConnector) -> None:
    placement = node.gateway.context.placement
    placement.connector = connector
    for pool in placement.pools.values():
        pool._connector = connector


def drop_step_downs(node: PlatformNode, peer: NodeId) -> None:
    """Drop the node's step-down requests to another node: they get no answer."""
    peers = _failover(node).peers
    step_down_of_peer = type(peers).step_down

    async def step_down(to: NodeId, request: StepDownRequest) -> StepDownReply:
        return NO_ANSWER if to == peer else await step_down_of_peer(peers, to, request)

    peers.step_down = step_down  # type: ignore[method-assign]


def restore_step_downs(node: PlatformNode) -> None:
    """Undo `drop_step_downs()`."""
    vars(_failover(node).peers).pop("step_down", None)


def _failover(node: PlatformNode) -> FailoverService:
    service = node.kernel._services["failover"]
    assert isinstance(service, FailoverService)
    return service
