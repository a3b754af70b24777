"""Changes the primary of groups by orders to an outside service."""
