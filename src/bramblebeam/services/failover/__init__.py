"""Changes the primary of groups through orders to an external service."""
