"""How packets and messages look on the wire."""
