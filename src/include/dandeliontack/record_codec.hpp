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

} // namespace dandeliontack
