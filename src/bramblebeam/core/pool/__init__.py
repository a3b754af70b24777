"""Connection slots of one database instance: limits, borrowing, queues, ownership."""
