"""Asyncio services round the pure logic in `core`."""
