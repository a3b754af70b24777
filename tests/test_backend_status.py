"""Parsing of a member's brief and full status, and errors for an invalid one."""

import pytest

from bramblebeam.core.statement import ColumnSpec
from bramblebeam.edges.backend import BackendConnection, BackendResult
from bramblebeam.edges.backend.status import STATUS_QUERY, StatusFormatError, parse_status
from bramblebeam.lab.database.member import DatabaseMember, MemberSettings


async def test_brief_and_full_status_agree() -> None:
    member = DatabaseMember(MemberSettings("db-1"))
    await member.start()
    connection = await BackendConnection.connect(member.address, "bramblebeam", "", "test", 5.0)
    brief = await connection.execute(STATUS_QUERY)
    full = await connection.execute("SHOW BRAMBLEBEAM STATUS")
    await connection.close()
    await member.stop()
    assert len(brief.columns) == 1
    brief_fields = parse_status(brief)._asdict()
    full_fields = parse_status(full)._asdict()
    for time_field in ("primary_contact_ms", "lag_ms"):
        assert brief_fields.pop(time_field) <= full_fields.pop(time_field)
    assert brief_fields == full_fields
    assert brief_fields["instance"] == "db-1"


@pytest.mark.parametrize("text", ["", "db-1,1,replica", "db-1,x,replica,0,0,0,0,0,0,,0,0"])
def test_invalid_status_is_an_error(text: str) -> None:
    result = BackendResult(columns=(ColumnSpec("status", 253),), rows=((text,),))
    with pytest.raises(StatusFormatError):
        parse_status(result)


def test_missing_row_is_an_error() -> None:
    with pytest.raises(StatusFormatError):
        parse_status(BackendResult())
