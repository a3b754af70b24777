"""Decides which nodes read the store; messages by which nodes pass on its lists."""
