"""Statement shapes: texts without literals and comments, which key the classification cache."""

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
    """Return the ID from a comment `/* bramblebeam_request=ID */`, or None.

    Literals are skipped, so that data cannot set a request id.
    """
    if _HINT_NAME not in sql:
        return None
    for token in _LITERAL_OR_COMMENT.finditer(sql):
        hint = _HINT.fullmatch(token[0])
        if hint is not None:
            return hint[1].strip()
    return None


def is_request_id(text: str) -> bool:
    """Whether a request id consists of 1 to 128 letters, digits or characters of `_.:+/@-`."""
    return _REQUEST_ID.fullmatch(text) is not None


def _placeholder(match: re.Match[str]) -> str:
    text = match[0]
    first = text[0]
    if first == "`":
        return text
    if first in "/#-":
        return " "
    return "?"
