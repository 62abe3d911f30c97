"""A demo that runs a complete site in one process on loopback ports."""

from sassafrasstile.demo._report import DemoReport
from sassafrasstile.demo._run import run_demo
from sassafrasstile.demo._site import LocalSite
from sassafrasstile.demo._workload import SITE_NAMES

__all__ = ["SITE_NAMES", "DemoReport", "LocalSite", "run_demo"]
