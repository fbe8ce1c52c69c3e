#pragma once

#include <dandeliontack/event.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace dandeliontack
{

/// Encodes an event as a record of the log. The stream and the offset are
/// not part of it; the log gives them.
std::string encode_record(const event& e);

/// Decodes and checks a record. One that can't be decoded, or whose values
/// fail their checks, comes back as `record_malformed` with all findings.
event decode_record(
    log_stream stream, std::uint64_t offset, std::string_view bytes);

/// Checks a value that operators publish, alike for a file and for a record.
/// The findings have the key `pool NAME` or `service NAME VERSION` and lack
/// file and line.
findings check_pool(const pool_config& config);
findings check_service(const service_config& config);

} // namespace dandeliontack
