"""Settings in YAML: a base file and overlays, merged and validated.

>>> site = check_tree({"site": {"name": "demo"}})
>>> site.site.name
'demo'
"""

from sassafrasstile.settings._load import (
    Origin,
    Tree,
    check_tree,
    load_site,
    merge_files,
    render_tree,
)
from sassafrasstile.settings._models import (
    Address,
    EndpointSettings,
    GatewayProcess,
    LivenessSettings,
    LoggingSettings,
    LogSettings,
    ModelSettings,
    RequestLimits,
    Rule,
    ServiceSettings,
    Site,
    SiteSettings,
    StopSettings,
    Targets,
    WorkspaceSettings,
    parse_address,
)

__all__ = [
    "Address",
    "EndpointSettings",
    "GatewayProcess",
    "LivenessSettings",
    "LogSettings",
    "LoggingSettings",
    "ModelSettings",
    "Origin",
    "RequestLimits",
    "Rule",
    "ServiceSettings",
    "Site",
    "SiteSettings",
    "StopSettings",
    "Targets",
    "Tree",
    "WorkspaceSettings",
    "check_tree",
    "load_site",
    "merge_files",
    "parse_address",
    "render_tree",
]
