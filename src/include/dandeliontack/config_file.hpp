#pragma once

#include <dandeliontack/config_events.hpp>
#include <dandeliontack/finding.hpp>
#include <dandeliontack/ini.hpp>

#include <vector>

namespace dandeliontack
{

/// Parses what operators publish: sections `[pool NAME]` and
/// `[service NAME]` or `[service NAME VERSION]`. All findings come together
/// with their line. The events have neither publisher nor base.
checked<std::vector<config_event>>
parse_config_file(const ini_document& document);

/// `pool NAME` or `service NAME VERSION`, as findings and effects name it.
std::string subject_of(const config_event& e);

} // namespace dandeliontack
