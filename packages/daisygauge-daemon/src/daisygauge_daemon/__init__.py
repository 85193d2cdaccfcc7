"""The balancer and agent daemons."""
