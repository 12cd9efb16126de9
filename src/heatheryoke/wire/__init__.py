"""Wire formats of packets and messages."""
