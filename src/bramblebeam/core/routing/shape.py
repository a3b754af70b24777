"""The shape of a statement: its text without literals and comments, the key of cached parses."""

import re

_LITERAL_OR_COMMENT = re.compile(
    r"""
      '(?:[^'\\]|\\.|'')*'                          # string
    | "(?:[^"\\]|\\.|"")*"                          # string
    | `(?:[^`]|``)*`                                # quoted identifier
    | /\*(?![!+]).*?\*/                             # comment, not an executable one
    | (?:--(?=\s|$)|\#)[^\n]*                       # comment to the end of the line
    | (?<![\w$.@])(?:0[xX][0-9a-fA-F]+|\d+(?:\.\d*)?(?:[eE][+-]?\d+)?)(?![\w$])   # number
    """,
    re.VERBOSE | re.DOTALL,
)
_REQUEST_HINT = re.compile(r"/\*\s*bramblebeam_request\s*=\s*([\w.:+/@-]{1,128})\s*\*/")
_HINT_NAME = "bramblebeam_request"


def shape_of(sql: str) -> str:
    """Return the statement with each literal as `?` and each comment as a space."""
    return _LITERAL_OR_COMMENT.sub(_placeholder, sql).strip().rstrip("; \t\r\n")


def request_hint(sql: str) -> str:
    """Return the caller's request id from a comment `/* bramblebeam_request=ID */`, or empty."""
    if _HINT_NAME not in sql:
        return ""
    match = _REQUEST_HINT.search(sql)
    return match[1] if match else ""


def _placeholder(match: re.Match[str]) -> str:
    text = match[0]
    first = text[0]
    if first == "`":
        return text
    if first in "/#-":
        return " "
    return "?"
