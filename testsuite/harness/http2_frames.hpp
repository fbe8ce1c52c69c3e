#pragma once

// Frames of HTTP/2 as a client of the control process sends them.

#include "crowd.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace dandeliontack::harness
{

// Types and flags of HTTP/2 frames (RFC 9113, section 6).
inline constexpr std::uint8_t data_frame = 0;
inline constexpr std::uint8_t headers_frame = 1;
inline constexpr std::uint8_t reset_frame = 3;
inline constexpr std::uint8_t settings_frame = 4;
inline constexpr std::uint8_t ping_frame = 6;
inline constexpr std::uint8_t continuation_frame = 9;
inline constexpr std::uint8_t end_of_stream = 1;
inline constexpr std::uint8_t end_of_headers = 4;

inline std::string big_endian(std::uint32_t number, unsigned bytes)
{
    std::string out;
    for (unsigned i = bytes; i > 0; --i)
        out.push_back(static_cast<char>(number >> (8 * (i - 1))));
    return out;
}

inline std::string frame(
    std::uint8_t type, std::uint8_t flags, std::uint32_t stream,
    const std::string& payload)
{
    return big_endian(static_cast<std::uint32_t>(payload.size()), 3) +
           static_cast<char>(type) + static_cast<char>(flags) +
           big_endian(stream, 4) + payload;
}

inline const std::string preface =
    "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(settings_frame, 0, 0, "");

// A literal field without indexing (RFC 7541, section 6.2.2).
inline std::string field(std::string_view name, std::string_view value)
{
    return std::string(1, '\0') + static_cast<char>(name.size()) +
           std::string(name) + static_cast<char>(value.size()) +
           std::string(value);
}

inline std::string call_head(std::string_view method)
{
    return field(":method", "POST") + field(":scheme", "http") +
           field(":path", "/dandeliontack.wire." + std::string(method)) +
           field(":authority", "a") + field("te", "trailers") +
           field("content-type", "application/grpc");
}

// Calls with rising stream numbers, each followed by what `behind` makes.
template <class Behind>
std::string calls(std::string_view method, std::uint32_t count, Behind behind)
{
    const auto head = call_head(method);
    std::string out;
    for (std::uint32_t i = 0; i < count; ++i)
        out += frame(headers_frame, end_of_headers, 2 * i + 1, head) +
               behind(2 * i + 1);
    return out;
}

inline attack
once(std::string name, std::size_t connections, const std::string& bytes)
{
    return {
        .name = std::move(name),
        .connections = connections,
        .opening = preface,
        .repeated = bytes,
        .bytes = bytes.size()};
}

} // namespace dandeliontack::harness
