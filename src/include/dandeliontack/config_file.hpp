#pragma once

#include <dandeliontack/config_events.hpp>
#include <dandeliontack/finding.hpp>
#include <dandeliontack/ini.hpp>

#include <vector>

namespace dandeliontack
{

/// Parses what operators publish: sections `[pool NAME]`, `[service NAME]` or
/// `[service NAME VERSION]`, `[wave NAME]`, `[team NAME]` and `[job NAME]`.
/// All findings come together with their line. The events have neither
/// publisher nor base.
checked<std::vector<config_event>>
parse_config_file(const ini_document& document);

} // namespace dandeliontack
