"""The request path and the host's state on a platform with an object store."""
