"""A router for separate prefill and decode pools.

The decisions are made by the kernels (`sassafrasstile.gateway` and
`sassafrasstile.sidecar`), which do no I/O. The daemons and the adapters execute
the effects that the kernels return.
"""

__version__ = "0.1.0"

__all__ = ["__version__"]
