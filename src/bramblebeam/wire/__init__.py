"""The protocol between nodes: cbor2 messages and their framing."""
