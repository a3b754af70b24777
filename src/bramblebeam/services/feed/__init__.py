"""The feed service: follows the platform's store for routes and registered databases."""
