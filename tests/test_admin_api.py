"""The administration API over HTTP, on loopback."""

import ssl
from datetime import UTC, datetime, timedelta
from pathlib import Path

import aiohttp
import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from bramblebeam.core.identity import (
    Address,
    GroupId,
    InstanceId,
    NodeId,
    NodeSpec,
    Position,
    ZoneId,
)
from bramblebeam.core.membership.view import Member, MembersChanged, MemberState, MembersView
from bramblebeam.core.role import Role
from bramblebeam.core.statement import InstanceStatus
from bramblebeam.edges.admin import authentication
from bramblebeam.edges.admin.authentication import Authenticator
from bramblebeam.edges.admin.errors import ApiError
from bramblebeam.edges.admin.limits import RateLimiter
from bramblebeam.edges.admin.server import AdminServer
from bramblebeam.lab.platform.faults import Faults
from bramblebeam.lab.platform.server import PlatformServer
from bramblebeam.lab.platform.store import ObjectName
from bramblebeam.settings.model import AdminSettings, AdminTokenSettings, TlsSettings
from configuration_system import WEIGHT, Node, system, until, weight

TOKENS = (
    {"token": "read-token", "role": "read"},
    {"token": "edit-token", "role": "edit", "team": "quito"},
    {"token": "edit-other", "role": "edit", "team": "cuenca"},
    {"token": "operate-token", "role": "operate"},
)
ROW = "/api/v1/rows/weight/quito-1"


async def call(node: Node, method: str, path: str, token: str = "operate-token", **body: object):
    headers = {"Authorization": f"Bearer {token}"}
    async with (
        aiohttp.ClientSession(headers=headers) as session,
        session.request(method, await node.admin_url() + path, json=body or None) as response,
    ):
        return response.status, await response.json(content_type=None), response.headers


async def edit(node: Node, version: int, value: int, token: str = "operate-token", **more: str):
    return await call(node, "PUT", ROW, token, expected_version=version, spec=weight(value), **more)


async def test_roles_and_teams_bound_what_a_token_may_do() -> None:
    async with system(1, *TOKENS) as (_, (node,)):
        statuses = [
            (await edit(node, 1, 5, token))[0]
            for token in ("wrong-token", "read-token", "edit-other", "edit-token")
        ]
        assert statuses == [401, 403, 403, 200]
        status, _, _ = await call(node, "POST", "/api/v1/nodes/n0/drain", "edit-token")
        assert status == 403


async def test_the_loser_of_two_editors_sees_both_versions() -> None:
    async with system(2, *TOKENS) as (_, nodes):
        status, won, _ = await edit(nodes[0], 1, 7)
        assert status == 200
        status, lost, _ = await edit(nodes[1], 1, 8)
        assert (status, lost["not_run"]) == (409, True)
        assert lost["details"]["current"] == won["row"]
        assert lost["details"]["yours"] == {"expected_version": 1, "spec": weight(8)}


async def test_an_edit_sent_again_with_its_change_id_is_one_edit() -> None:
    async with system(2, *TOKENS) as (server, nodes):
        server.set_faults(Faults(lose_answers=1))
        first = await edit(nodes[0], 1, 7, change_id="once")
        again = await edit(nodes[1], 1, 7, change_id="once")
        assert first[:2] == again[:2]
        assert server.statistics.writes == 1


async def test_wrong_requests_name_what_is_wrong() -> None:
    async with system(1, *TOKENS) as (_, (node,)):
        status, body, _ = await edit(node, 1, -5)
        assert status == 422
        assert "spec.read_weight" in body["message"]
        status, body, _ = await call(node, "PUT", ROW, expected_version=-1, spec={})
        assert status == 400
        assert list(body["details"]["fields"]) == ["expected_version"]
        status, body, _ = await call(node, "GET", "/api/v1/rows?limit=x")
        assert (status, body["code"]) == (400, "parameter")
        status, body, _ = await call(
            node, "PUT", ROW, expected_version=1, spec={"x": "y" * 300_000}
        )
        assert status == 413
        assert (await call(node, "GET", "/api/v1/rows/weight/none"))[0] == 404


async def test_every_node_reports_where_a_version_is_in_force() -> None:
    async with system(3, *TOKENS) as (_, nodes):
        _, written, _ = await edit(nodes[0], 1, 7)
        version = written["version"]
        await until(lambda: all(node.view.version == version for node in nodes))
        for node in nodes:
            body = await _everywhere(node, version)
            assert body["zones"][0]["nodes"] == 3
        _, page, _ = await call(nodes[1], "GET", "/api/v1/members?limit=2")
        _, rest, _ = await call(nodes[1], "GET", f"/api/v1/members?after={page['next']}")
        assert [entry["node"] for entry in page["members"] + rest["members"]] == ["n0", "n1", "n2"]
        _, versions, _ = await call(nodes[2], "GET", "/api/v1/versions")
        assert [entry["version"] for entry in versions["nodes"]] == [version] * 3


async def _everywhere(node: Node, version: int) -> dict:
    body: dict = {}

    async def ask() -> bool:
        nonlocal body
        _, body, _ = await call(node, "GET", f"/api/v1/in-force?version={version}")
        return body["everywhere"]

    for _ in range(50):
        if await ask():
            return body
    raise AssertionError(body)


async def test_the_drain_of_a_primary_is_refused_only_where_the_group_moves_it_itself() -> None:
    async with system(1, *TOKENS) as (server, (node,)):
        member = {"instance": "quito-1", "zone": "zone-a", "host": "127.0.0.1", "port": 1}
        group = {"members": [member], "failover": "observed"}
        server.store.create(ObjectName("group", "orders"), group, {})
        server.cut_watches()
        await until(lambda: len(node.view.groups) == 1)
        node.kernel.publish(primary_status(node))
        _, shown, _ = await call(node, "GET", "/api/v1/groups/orders")
        assert (shown["primary"], shown["term"], shown["unreachable"]) == ("quito-1", 4, [])
        path = "/api/v1/instances/quito-1/drain"
        status, body, _ = await call(node, "POST", path, drain=True)
        assert (status, body["code"]) == (409, "primary")
        assert (await call(node, "POST", path, drain=True, force=True))[0] == 200
        await until(lambda: node.view.weights["quito-1"].drain)
        assert node.view.weights["quito-1"].read_weight == 100


def primary_status(node: Node) -> InstanceStatus:
    at = Position(4, 7)
    return InstanceStatus(
        InstanceId("quito-1"),
        GroupId("orders"),
        4,
        Role.PRIMARY,
        at,
        at,
        0,
        False,
        True,
        node.name,
        1,
    )


async def test_what_cannot_be_reached_is_named() -> None:
    async with system(1, *TOKENS) as (server, (node,)):
        member = {"instance": "quito-1", "zone": "zone-b", "host": "127.0.0.1", "port": 1}
        server.store.create(ObjectName("group", "orders"), {"members": [member]}, {})
        server.cut_watches()
        await until(lambda: len(node.view.groups) == 1)
        node.kernel.publish(MembersChanged(with_silent_zone(node)))
        _, body, _ = await call(node, "GET", "/api/v1/in-force?version=1")
        assert (body["everywhere"], body["unreachable"]) == (False, ["zone-b"])
        assert [zone["zone"] for zone in body["zones"]] == ["zone-a"]
        _, body, _ = await call(node, "GET", "/api/v1/groups/orders")
        assert (body["unreachable"], body["members"][0]["owner"]) == (["quito-1"], "silent")
        _, body, _ = await call(node, "GET", "/api/v1/pools?group=orders")
        assert body["unreachable"] == ["quito-1"]


def with_silent_zone(node: Node) -> MembersView:
    nowhere = Address("127.0.0.1", 1)
    silent = NodeSpec(NodeId("silent"), ZoneId("zone-b"), "r", nowhere, nowhere, nowhere)
    known = node.configuration.relay.peers._view
    members = {**known.members, silent.node: Member(silent, 1, MemberState.ALIVE)}
    return MembersView(members, {**known.owners, silent.zone: (silent.node,)})


async def test_lists_are_paged_and_the_document_covers_every_operation() -> None:
    async with system(1, *TOKENS) as (server, (node,)):
        await _add_weights(server, 4)
        await until(lambda: len(node.view.weights) == 5)
        _, first, _ = await call(node, "GET", "/api/v1/rows?limit=3&kind=weight")
        _, second, _ = await call(node, "GET", f"/api/v1/rows?limit=3&after={first['next']}")
        assert len(first["rows"]) == 3
        assert len(second["rows"]) == 2
        assert second["next"] is None
        _, document, _ = await call(node, "GET", "/openapi.json")
        assert document["paths"]["/api/v1/rows/{kind}/{name}"].keys() == {"get", "put", "delete"}


async def _add_weights(server: PlatformServer, count: int) -> None:
    for number in range(count):
        server.store.create(ObjectName("weight", f"w{number}"), {"instance": f"w{number}"}, {})
    server.cut_watches()


async def test_health_readiness_and_metrics_need_no_token() -> None:
    async with system(1, *TOKENS) as (_, (node,)), aiohttp.ClientSession() as session:
        for path, text in (
            ("/healthz", '"ok"'),
            ("/readyz", '"ready": true'),
            ("/metrics", "bramblebeam_ready 1.0"),
        ):
            async with session.get(await node.admin_url() + path) as response:
                assert response.status == 200
                assert text in await response.text()


def test_without_tokens_only_the_loopback_interface_is_open() -> None:
    assert Authenticator((), "127.0.0.1").operator("").role is authentication.Role.OPERATE
    with pytest.raises(ApiError) as refused:
        Authenticator((), "10.0.0.1").operator("")
    assert refused.value.status == 401


def test_a_team_owns_rows_by_the_beginning_of_their_name() -> None:
    token = AdminTokenSettings(token="some-token", role="edit", team="quito")
    operator = Authenticator((token,), "10.0.0.1").operator("Bearer some-token")
    owned = [operator.owns(name) for name in ("quito", "quito-1", "quito.g", "quitos", "iasi-1")]
    assert owned == [True, True, True, False, False]


def test_a_token_bucket_refills_with_time() -> None:
    limit = RateLimiter(rate=2.0, burst=2.0)
    assert [limit.try_acquire("a", 0.0) for _ in range(3)] == [0.0, 0.0, 0.5]
    assert limit.try_acquire("b", 0.0) == 0.0
    assert limit.try_acquire("a", 0.5) == 0.0


def test_the_row_used_here_is_the_one_in_the_store() -> None:
    assert f"/api/v1/rows/{WEIGHT.kind}/{WEIGHT.name}" == ROW


async def test_the_api_is_served_over_tls(tmp_path: Path) -> None:
    certificate, key = self_signed(tmp_path)
    settings = AdminSettings(tls=TlsSettings(certificate=certificate, key=key))
    server = AdminServer(Ready(), settings)
    address = await server.start()
    trusted = ssl.create_default_context(cafile=str(certificate))
    try:
        async with aiohttp.ClientSession() as session:
            async with session.get(
                f"https://localhost:{address.port}/readyz", ssl=trusted
            ) as response:
                assert response.status == 200
            with pytest.raises(aiohttp.ClientError):
                await session.get(f"http://localhost:{address.port}/readyz")
    finally:
        await server.stop()


class Ready:
    async def ready(self) -> bool:
        return True


def self_signed(directory: Path) -> tuple[Path, Path]:
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "localhost")])
    now = datetime.now(UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(now - timedelta(days=1))
        .not_valid_after(now + timedelta(days=1))
        .add_extension(x509.SubjectAlternativeName([x509.DNSName("localhost")]), critical=False)
        .sign(key, hashes.SHA256())
    )
    paths = directory / "certificate.pem", directory / "key.pem"
    paths[0].write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    paths[1].write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return paths
