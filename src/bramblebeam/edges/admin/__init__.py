"""The administration HTTP API, built on aiohttp."""
