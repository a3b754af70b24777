"""The protocol between nodes: CBOR messages and their framing."""
