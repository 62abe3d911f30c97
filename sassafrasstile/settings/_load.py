"""Loads, merges and validates a base file and its overlays."""

import dataclasses
import functools
import pathlib
from typing import Any

import pydantic
import yaml

from sassafrasstile import errors
from sassafrasstile import plugins
from sassafrasstile.settings import _models

# Keys and list indices, as text, that lead to a setting.
KeyPath = tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Origin:
    """The position in a file that a value was read from.

    Attributes:
        file: The file, or an empty string if the value is in no file.
        line: The line, counted from one, or zero if the value is in no file.
    """

    file: str = ""
    line: int = 0


@dataclasses.dataclass(kw_only=True)
class Tree:
    """Settings before validation.

    Attributes:
        values: Nested mappings, lists and scalars.
        origins: The origin of each value, by path.
    """

    values: dict[str, Any]
    origins: dict[KeyPath, Origin]


def _read_file(file: str) -> Tree:
    try:
        text = pathlib.Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.ConfigurationError(
            code=errors.Code.CONFIG_UNREADABLE, detail=str(error), file=file
        ) from error
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
        values = yaml.safe_load(text)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        raise errors.ConfigurationError(
            code=errors.Code.CONFIG_SYNTAX,
            detail=getattr(error, "problem", None) or str(error),
            file=file,
            line=mark.line + 1 if mark else 0,
        ) from error
    if values is None:
        return Tree(values={}, origins={})
    if not isinstance(values, dict):
        raise errors.ConfigurationError(
            code=errors.Code.CONFIG_INVALID,
            detail=f"the top level is {values!r}; allowed is a mapping",
            file=file,
            line=1,
        )
    origins: dict[KeyPath, Origin] = {}
    _record_origins(node, (), file, origins)
    return Tree(values=values, origins=origins)


def _record_origins(
    node: yaml.Node, path: KeyPath, file: str, origins: dict[KeyPath, Origin]
) -> None:
    origins[path] = Origin(file=file, line=node.start_mark.line + 1)
    if isinstance(node, yaml.MappingNode):
        seen: set[str] = set()
        for key, value in node.value:
            line = key.start_mark.line + 1
            if key.value in seen:
                raise errors.ConfigurationError(
                    code=errors.Code.CONFIG_INVALID,
                    detail=f"{'.'.join((*path, key.value))} is set twice",
                    file=file,
                    line=line,
                )
            seen.add(key.value)
            child_path = (*path, key.value)
            _record_origins(value, child_path, file, origins)
            origins[child_path] = Origin(file=file, line=line)
    elif isinstance(node, yaml.SequenceNode):
        for index, value in enumerate(node.value):
            _record_origins(value, (*path, str(index)), file, origins)


def _merge(base: Tree, overlay: Tree) -> Tree:
    """Merges an overlay into a base.

    Mappings are merged key by key. Any other value replaces the value of the
    base, and null removes it.
    """
    origins = dict(base.origins)
    values = _merge_values(base.values, overlay, (), origins)
    return Tree(values=values, origins=origins)


def _merge_values(
    base: dict[str, Any],
    overlay: Tree,
    path: KeyPath,
    origins: dict[KeyPath, Origin],
) -> dict[str, Any]:
    merged = dict(base)
    values = functools.reduce(
        lambda mapping, key: mapping[key], path, overlay.values
    )
    for key, value in values.items():
        child_path = (*path, str(key))
        if isinstance(value, dict) and isinstance(merged.get(key), dict):
            merged[key] = _merge_values(
                merged[key], overlay, child_path, origins
            )
            continue
        _remove_origins(origins, child_path)
        if value is None:
            merged.pop(key, None)
            continue
        merged[key] = value
        _copy_origins(overlay.origins, origins, child_path)
    return merged


def _remove_origins(origins: dict[KeyPath, Origin], path: KeyPath) -> None:
    removed = [key for key in origins if key[: len(path)] == path]
    for key in removed:
        del origins[key]


def _copy_origins(
    source: dict[KeyPath, Origin], target: dict[KeyPath, Origin], path: KeyPath
) -> None:
    for key, origin in source.items():
        if key[: len(path)] == path:
            target[key] = origin


def merge_files(files: list[str]) -> Tree:
    """Reads files and merges them in order.

    Args:
        files: The base, followed by the overlays.

    Returns:
        The merged settings, not validated.

    Raises:
        errors.ConfigurationError: A file can't be read or parsed.
    """
    trees = [_read_file(file) for file in files]
    return functools.reduce(_merge, trees, Tree(values={}, origins={}))


def check_tree(
    values: dict[str, Any], origins: dict[KeyPath, Origin] | None = None
) -> _models.Site:
    """Validates merged settings.

    Args:
        values: The merged settings.
        origins: The origin of each value, for error messages.

    Returns:
        The validated settings.

    Raises:
        errors.ConfigurationError: A value isn't allowed; the error describes
            the first such value.
    """
    origins = origins or {}
    try:
        site = pydantic.TypeAdapter(_models.Site).validate_python(values)
    except pydantic.ValidationError as error:
        raise _make_validation_error(error.errors()[0], origins) from error
    _check_consistency(site, origins)
    return site


def _make_validation_error(
    problem: Any, origins: dict[KeyPath, Origin]
) -> errors.ConfigurationError:
    path = tuple(str(part) for part in problem["loc"] if part != "[key]")
    detail = f"{'.'.join(path)}: {problem['msg']}"
    if problem["type"] == "missing":
        detail = f"{'.'.join(path)} is missing"
    elif problem["type"] == "unexpected_keyword_argument":
        detail = f"{'.'.join(path)} is not a setting"
    else:
        detail += f"; received {problem['input']!r}"
    return _make_error(path, detail, origins)


def _make_error(
    path: KeyPath, detail: str, origins: dict[KeyPath, Origin]
) -> errors.ConfigurationError:
    origin = Origin()
    while True:
        if path in origins:
            origin = origins[path]
            break
        if not path:
            break
        path = path[:-1]
    return errors.ConfigurationError(
        code=errors.Code.CONFIG_INVALID,
        detail=detail,
        file=origin.file,
        line=origin.line,
    )


def _check_consistency(
    site: _models.Site, origins: dict[KeyPath, Origin]
) -> None:
    for name, endpoint in site.endpoints.items():
        known = site.services if endpoint.role == "service" else site.models
        if endpoint.serves not in known:
            raise _make_error(
                ("endpoints", name, "serves"),
                f"endpoints.{name}.serves is {endpoint.serves!r}; "
                f"allowed are {sorted(known)}",
                origins,
            )
    if site.services and not site.log.url:
        raise _make_error(
            ("log", "url"),
            "log.url is ''; allowed is a URL, since calls to services "
            f"{sorted(site.services)} are claimed in the log",
            origins,
        )
    policies = plugins.list_names(plugins.Kind.POLICY)
    if site.routing.policy not in policies:
        raise _make_error(
            ("routing", "policy"),
            f"routing.policy is {site.routing.policy!r}; "
            f"allowed are {policies}",
            origins,
        )
    _check_leases(site, origins)


def _check_leases(site: _models.Site, origins: dict[KeyPath, Origin]) -> None:
    """Checks what the gateways and the sidecars assume of each other."""
    lease_s = site.leases.lease_s
    for section, renew_s in (
        ("leases", site.leases.renew_s),
        ("routing", site.routing.renew_s),
    ):
        if renew_s * 2 > lease_s:
            raise _make_error(
                (section, "renew_s"),
                f"{section}.renew_s is {renew_s}; allowed is at most half of "
                f"leases.lease_s, {lease_s / 2}",
                origins,
            )
    if site.routing.lease_s != lease_s:
        raise _make_error(
            ("routing", "lease_s"),
            f"routing.lease_s is {site.routing.lease_s}; allowed is only "
            f"leases.lease_s, {lease_s}",
            origins,
        )


def load_site(files: list[str]) -> _models.Site:
    """Reads, merges and validates settings.

    Args:
        files: The base, followed by the overlays.

    Returns:
        The validated settings.

    Raises:
        errors.ConfigurationError: The files can't be read or aren't valid.
    """
    tree = merge_files(files)
    return check_tree(tree.values, tree.origins)


def render_tree(site: _models.Site, tree: Tree) -> list[str]:
    """Renders each setting with its value and origin.

    Args:
        site: The validated settings.
        tree: The merged settings that `site` was made from.

    Returns:
        One line per setting, sorted by path.
    """
    lines: list[str] = []
    _render(dataclasses.asdict(site), (), tree.origins, lines)
    return lines


def _render(
    value: Any, path: KeyPath, origins: dict[KeyPath, Origin], lines: list[str]
) -> None:
    if isinstance(value, dict) and value:
        for key in sorted(value):
            _render(value[key], (*path, str(key)), origins, lines)
        return
    if isinstance(value, (list, tuple)) and value:
        for index, item in enumerate(value):
            _render(item, (*path, str(index)), origins, lines)
        return
    origin = origins.get(path)
    location = f"{origin.file}:{origin.line}" if origin else "default"
    lines.append(f"{'.'.join(path)} = {value!r}  # {location}")
