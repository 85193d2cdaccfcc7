"""Stand-ins for clients, hosts, routers and the store of a small deployment."""
