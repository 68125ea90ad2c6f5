"""The router: one process a host that serves callers and calls backend servers itself."""
