#pragma once

#include <dandeliontack/config_events.hpp>

#include <string>

namespace dandeliontack
{

/// A published value as a JSON object with the members of its message in
/// src/proto; whole numbers of 64 bits are texts, as Protobuf's JSON has
/// them.
std::string to_json_text(const pool_config& config);
std::string to_json_text(const service_config& config);
std::string to_json_text(const wave_config& config);
std::string to_json_text(const team_config& config);
std::string to_json_text(const job_config& config);
std::string to_json_text(const config_event& e);

} // namespace dandeliontack
