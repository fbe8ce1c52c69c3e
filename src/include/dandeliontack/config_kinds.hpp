#pragma once

#include <dandeliontack/config_events.hpp>
#include <dandeliontack/finding.hpp>

namespace dandeliontack
{

/// Checks a value that operators publish, alike for a file and for a record.
/// The findings carry the value's subject as key and lack file and line.
findings check(const pool_config& config);
findings check(const service_config& config);
findings check(const wave_config& config);
findings check(const team_config& config);
findings check(const job_config& config);

} // namespace dandeliontack
