"""What other nodes and libraries say never breaks a line of the callers' protocol."""

from bramblebeam.core.membership.messages import DigestRequest
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.platform.answers import error_code, error_text
from bramblebeam.platform.lines import LineBuffer, encode_line
from bramblebeam.platform.node import GATEWAY_NODE_MESSAGES
from bramblebeam.wire.codec import Codec


# A caller dropped its session, as the text of a refusal held line ends.
def test_error_text_with_line_ends_stays_one_line() -> None:
    lost = "wrong fields: 1 error\n0.2.1\r\n  too large"
    refusal = Refusal(Verdict.UNKNOWN, Reason.CONNECTION_LOST, lost)
    data = encode_line("ERR", error_code(refusal), error_text(refusal))
    assert len(LineBuffer().feed(data)) == 1
    assert data.count(b"\n") == 1


# Nodes refused each other's digests of the member table and closed the streams between them.
def test_digest_of_the_member_table_has_64_bits_without_a_sign() -> None:
    codec = Codec(GATEWAY_NODE_MESSAGES)
    request = DigestRequest((1 << 64) - 1)
    assert codec.decode(codec.encode(request)) == request
