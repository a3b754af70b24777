"""The specification of the core protocol, in small models that a checker explores exhaustively."""
