"""The replicated table of groups, limits and weights: rows, the view in force, and the relay."""
