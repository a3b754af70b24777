"""Gateway decisions: routes, read floors, connection state and database selection, without I/O."""
