"""A report as a table, as a page, and as JSON."""
