"""Placement, admission, retry and membership decisions."""
