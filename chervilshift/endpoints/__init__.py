"""HTTP clients for model engines, plain services and orders to endpoints."""
