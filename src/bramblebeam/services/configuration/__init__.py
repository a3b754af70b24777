"""The configuration service: rows from the store and from peers, edits, and rows in force."""
