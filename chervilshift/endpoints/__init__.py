"""Adapters to engines, plain services and the cloud."""
