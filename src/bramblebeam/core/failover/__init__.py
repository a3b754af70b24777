"""Decisions of an ordered change of primary, where an outside service promotes by order."""
