"""The administration API over HTTP, by aiohttp."""
