"""Pure decision logic: state machines that map typed events and the time to typed effects.

Code in this package performs no I/O, reads no clock, starts no task and creates no random source.
"""
