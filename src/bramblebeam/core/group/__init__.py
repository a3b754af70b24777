"""Changes a group's primary: failure detection, terms, promises, and planned changes."""
