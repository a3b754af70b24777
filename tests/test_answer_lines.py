"""What other nodes and libraries say never breaks a line of the callers' protocol."""

from bramblebeam.core.membership.messages import DigestRequest
from bramblebeam.platform.lines import LineBuffer, encode_line
from bramblebeam.platform.node import GATEWAY_NODE_MESSAGES
from bramblebeam.wire.codec import Codec


def test_error_text_with_line_ends_stays_one_line() -> None:
    data = encode_line("ERR", "ABORTED", "wrong fields: 1 error\n0.2.1\r\n  too large")
    assert len(LineBuffer().feed(data)) == 1
    assert data.count(b"\n") == 1


def test_digest_of_the_member_table_has_64_bits_without_a_sign() -> None:
    codec = Codec(GATEWAY_NODE_MESSAGES)
    request = DigestRequest((1 << 64) - 1)
    assert codec.decode(codec.encode(request)) == request
