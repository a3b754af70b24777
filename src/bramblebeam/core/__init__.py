"""Pure decision logic: typed events and the time in, new state and typed effects out.

Nothing in this package reads a clock, opens a socket, draws a random number or starts a task.
"""
