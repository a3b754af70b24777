"""Packets of the connection phase, and password authentication."""

import hmac
import secrets
import string
from dataclasses import dataclass, field
from functools import cache

from mysql_mimic import packets
from mysql_mimic.auth import NativePasswordAuthPlugin
from mysql_mimic.charset import CharacterSet, Collation
from mysql_mimic.constants import DEFAULT_SERVER_CAPABILITIES
from mysql_mimic.types import Capabilities, ServerStatus

from bramblebeam.edges.mysql.reader import MalformedPacketError, PacketReader

SERVER_VERSION = "8.0.36-bramblebeam"
SERVER_CAPABILITIES = int(
    DEFAULT_SERVER_CAPABILITIES | Capabilities.CLIENT_TRANSACTIONS | Capabilities.CLIENT_FOUND_ROWS
)
PLUGIN_NAME = "mysql_native_password"

CLIENT_CONNECT_WITH_DB = int(Capabilities.CLIENT_CONNECT_WITH_DB)
CLIENT_CONNECT_ATTRS = int(Capabilities.CLIENT_CONNECT_ATTRS)
CLIENT_DEPRECATE_EOF = int(Capabilities.CLIENT_DEPRECATE_EOF)
CLIENT_LENENC_AUTH = int(Capabilities.CLIENT_PLUGIN_AUTH_LENENC_CLIENT_DATA)
CLIENT_PLUGIN_AUTH = int(Capabilities.CLIENT_PLUGIN_AUTH)
CLIENT_PROTOCOL_41 = int(Capabilities.CLIENT_PROTOCOL_41)
CLIENT_QUERY_ATTRIBUTES = int(Capabilities.CLIENT_QUERY_ATTRIBUTES)
CLIENT_SSL = int(Capabilities.CLIENT_SSL)

SSL_REQUEST_BYTES = 32
NONCE_BYTES = 20
_PRINTABLE = (string.ascii_letters + string.digits + "+-").encode() * 4
"""Translation table from any byte to one of 64 printable characters, all equally likely."""

_CONNECTION_ID_OFFSET = 1 + len(SERVER_VERSION) + 1
_NONCE_OFFSET = _CONNECTION_ID_OFFSET + 4
_NONCE_REST_OFFSET = _NONCE_OFFSET + 8 + 1 + 2 + 1 + 2 + 2 + 1 + 10
"""Comes after the first 8 bytes of the nonce, a filler, lower capabilities, character set, status,
upper capabilities, length of the nonce, and reserved bytes."""

_plugin = NativePasswordAuthPlugin()


@dataclass(frozen=True, slots=True)
class Credentials:
    """What a client sends to authenticate, on connecting or with COM_CHANGE_USER."""

    user: str
    scramble: bytes
    database: str = ""
    plugin: str = ""
    attributes: dict[str, str] = field(default_factory=dict)


def new_nonce() -> bytes:
    """Return 20 unpredictable printable bytes."""
    return secrets.token_bytes(NONCE_BYTES).translate(_PRINTABLE)


def greeting(connection_id: int, nonce: bytes, offer_tls: bool) -> bytes:
    """Return the server's initial handshake packet."""
    packet = bytearray(_greeting_template(offer_tls))
    packet[_CONNECTION_ID_OFFSET : _CONNECTION_ID_OFFSET + 4] = connection_id.to_bytes(4, "little")
    packet[_NONCE_OFFSET : _NONCE_OFFSET + 8] = nonce[:8]
    packet[_NONCE_REST_OFFSET : _NONCE_REST_OFFSET + 12] = nonce[8:]
    return bytes(packet)


@cache
def _greeting_template(offer_tls: bool) -> bytes:
    """Return a greeting with connection id 0 and a placeholder nonce."""
    capabilities = SERVER_CAPABILITIES | (CLIENT_SSL if offer_tls else 0)
    packet: bytes = packets.make_handshake_v10(
        capabilities=Capabilities(capabilities),
        server_charset=CharacterSet.utf8mb4,
        server_version=SERVER_VERSION,
        connection_id=0,
        auth_data=b"x" * NONCE_BYTES + b"\x00",
        status_flags=ServerStatus.SERVER_STATUS_AUTOCOMMIT,
        auth_plugin_name=PLUGIN_NAME,
    )
    return packet


def read_capabilities(packet: bytes) -> tuple[int, str]:
    """Return the negotiated capabilities and the codec of the client's character set.

    Raises MalformedPacketError.
    """
    reader = PacketReader(packet)
    capabilities = reader.integer(4) & (SERVER_CAPABILITIES | CLIENT_SSL)
    if not capabilities & CLIENT_PROTOCOL_41:
        raise MalformedPacketError("client does not support protocol 4.1")
    reader.integer(4)
    return capabilities, codec_for_collation(reader.integer(1))


def codec_for_collation(collation: int) -> str:
    """Return the codec for a MySQL collation id. Raises MalformedPacketError."""
    try:
        codec: str = Collation(collation).charset.codec
        "".encode(codec)
    except (ValueError, LookupError, KeyError) as error:
        raise MalformedPacketError("unknown character set") from error
    return codec


def read_credentials(packet: bytes, capabilities: int, codec: str) -> Credentials:
    """Parse the credentials of a handshake response. Raises MalformedPacketError."""
    reader = PacketReader(packet)
    reader.take(SSL_REQUEST_BYTES)
    user = decode_text(reader.null_terminated_string(), codec)
    lenenc = capabilities & CLIENT_LENENC_AUTH
    scramble = reader.length_encoded_string() if lenenc else reader.take(reader.integer(1))
    with_database = capabilities & CLIENT_CONNECT_WITH_DB and reader.remaining
    database = decode_text(reader.null_terminated_string(), codec) if with_database else ""
    return _read_plugin_and_attributes(
        reader, capabilities, codec, user=user, scramble=scramble, database=database
    )


def read_change_user(packet: bytes, capabilities: int, codec: str) -> Credentials:
    """Parse the body of COM_CHANGE_USER. Raises MalformedPacketError."""
    reader = PacketReader(packet)
    user = decode_text(reader.null_terminated_string(), codec)
    scramble = reader.take(reader.integer(1))
    database = decode_text(reader.null_terminated_string(), codec)
    if reader.remaining >= 2:
        reader.integer(2)
    return _read_plugin_and_attributes(
        reader, capabilities, codec, user=user, scramble=scramble, database=database
    )


def _read_plugin_and_attributes(
    reader: PacketReader,
    capabilities: int,
    codec: str,
    *,
    user: str,
    scramble: bytes,
    database: str,
) -> Credentials:
    plugin = ""
    if capabilities & CLIENT_PLUGIN_AUTH and reader.remaining:
        plugin = decode_text(reader.null_terminated_string(), codec)
    attributes: dict[str, str] = {}
    if capabilities & CLIENT_CONNECT_ATTRS and reader.remaining:
        attributes = _read_attributes(PacketReader(reader.length_encoded_string()), codec)
    return Credentials(user, scramble, database, plugin, attributes)


def _read_attributes(reader: PacketReader, codec: str) -> dict[str, str]:
    attributes = {}
    while reader.remaining:
        name = decode_text(reader.length_encoded_string(), codec)
        attributes[name] = decode_text(reader.length_encoded_string(), codec)
    return attributes


def decode_text(data: bytes, codec: str) -> str:
    """Decode text. Raises MalformedPacketError if it is not valid in `codec`."""
    try:
        return data.decode(codec)
    except UnicodeDecodeError as error:
        raise MalformedPacketError(f"text is not valid {codec}") from error


def auth_switch_request(nonce: bytes) -> bytes:
    """Return the packet that requests authentication with mysql_native_password."""
    packet: bytes = packets.make_auth_switch_request(
        server_charset=CharacterSet.utf8mb4,
        plugin_name=PLUGIN_NAME,
        plugin_provided_data=nonce + b"\x00",
    )
    return packet


class Accounts:
    """The callers' accounts. If `passwords` is None, any user name and password are accepted."""

    def __init__(self, passwords: dict[str, str] | None) -> None:
        self._hashes: dict[str, str] | None = None
        if passwords is not None:
            self._hashes = {
                name: NativePasswordAuthPlugin.create_auth_string(password) if password else ""
                for name, password in passwords.items()
            }

    def verify(self, user: str, scramble: bytes, nonce: bytes) -> bool:
        """Return whether the scramble matches the user's password."""
        if self._hashes is None:
            return True
        password_hash = self._hashes.get(user)
        if password_hash is None:
            return False
        if not password_hash:
            return hmac.compare_digest(scramble, b"")
        matches: bool = len(scramble) == 20 and _plugin.verify_scramble(
            password_hash, scramble, nonce
        )
        return matches
