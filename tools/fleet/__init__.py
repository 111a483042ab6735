"""Runs radishrudder's programs and stand-ins on loopback, for trials."""
