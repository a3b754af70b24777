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
_HINT_NAME = "bramblebeam_request"
_HINT = re.compile(r"/\*\s*bramblebeam_request\s*=(.*)\*/", re.DOTALL)
_REQUEST_ID = re.compile(r"[\w.:+/@-]{1,128}")


def shape_of(sql: str) -> str:
    """Return the statement with each literal as `?` and each comment as a space."""
    return _LITERAL_OR_COMMENT.sub(_placeholder, sql).strip().rstrip("; \t\r\n")


def request_hint(sql: str) -> str | None:
    """Return what a comment `/* bramblebeam_request=ID */` holds as id, or None.

    Text inside a literal is no comment: data must not name a request.
    """
    if _HINT_NAME not in sql:
        return None
    for token in _LITERAL_OR_COMMENT.finditer(sql):
        hint = _HINT.fullmatch(token[0])
        if hint is not None:
            return hint[1].strip()
    return None


def is_request_id(text: str) -> bool:
    """Whether a request's id has 1 to 128 letters, digits or signs of `_.:+/@-`."""
    return _REQUEST_ID.fullmatch(text) is not None


def _placeholder(match: re.Match[str]) -> str:
    text = match[0]
    first = text[0]
    if first == "`":
        return text
    if first in "/#-":
        return " "
    return "?"
