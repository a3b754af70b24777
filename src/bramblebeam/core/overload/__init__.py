"""Overload control: admission, queueing, read routing and retry pacing. Without I/O."""
