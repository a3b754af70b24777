"""Connection slots of one back end: shares, borrowing, queues, pinning, ownership."""
