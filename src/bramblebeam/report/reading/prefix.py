"""The name of a node in the words that another tool put before a line."""

import re

_TIME = re.compile(r"[\d:.,+/TZ-]*\d[\d:.,+/TZ-]*")
_AROUND = "[](){}<>|:,;=\"'"


def node_name_in_prefix(prefix: str) -> str:
    """Return the words of a prefix that are no time and no sign; they may be empty."""
    words = (word.strip(_AROUND) for word in prefix.split())
    return " ".join(word for word in words if word and not _TIME.fullmatch(word))
