"""The router: one process per host, which serves callers and calls backend servers directly."""
