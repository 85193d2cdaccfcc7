"""Stand-ins for the platform, fabric, upstreams and callers."""
