"""The published inventory: its types, its import from an asset register, and its checks."""
