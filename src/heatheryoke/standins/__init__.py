"""Small stand-ins for what surrounds the system: fabric, platform, upstreams and callers."""
