"""Specification of the core protocols as small models, explored exhaustively by a model checker."""
