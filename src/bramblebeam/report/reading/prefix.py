"""Extracts a node's name from the prefix that another tool put before a log line."""

import re

_TIME = re.compile(r"[\d:.,+/TZ-]*\d[\d:.,+/TZ-]*")
_PUNCTUATION = "[](){}<>|:,;=\"'"


def node_name_in_prefix(prefix: str) -> str:
    """Return the words of a prefix without times and punctuation; the result may be empty."""
    words = (word.strip(_PUNCTUATION) for word in prefix.split())
    return " ".join(word for word in words if word and not _TIME.fullmatch(word))
