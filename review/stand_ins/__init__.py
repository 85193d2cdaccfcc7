"""Stand-ins of the store, hosts, clients and the platform for the cases' scripts."""
