"""Follows the platform's store: routes and registered databases."""
