"""Change of primary: failure detection, terms, promises, and the planned change."""
