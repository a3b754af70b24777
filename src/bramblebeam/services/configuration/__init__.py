"""The configuration service: rows from the store and from peers, edits, and what is in force."""
