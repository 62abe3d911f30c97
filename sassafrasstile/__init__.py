"""A router for separate prefill and decode pools.

The package is a library with thin daemons round it. Decisions live in the
kernels (`sassafrasstile.gateway`, `sassafrasstile.sidecar`), which do no I/O;
adapters and daemons carry out what the kernels decide.
"""

__version__ = "0.1.0"

__all__ = ["__version__"]
