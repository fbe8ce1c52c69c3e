#pragma once

#include <dandeliontack/http.hpp>
#include <dandeliontack/request_class.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace dandeliontack
{

inline constexpr const char* request_id_header = "tack-request-id";
inline constexpr const char* deadline_header = "tack-deadline-ms";
inline constexpr const char* version_header = "tack-schema-version";
/// In a request the lowest offset of the system's stream that its answer may
/// be served from; in an answer the one that it was served from.
inline constexpr const char* offset_header = "tack-offset";
inline constexpr const char* class_header = "tack-class";
inline constexpr const char* idempotent_header = "tack-idempotent";
inline constexpr const char* ticket_header = "tack-ticket";
/// Set by the entry process that passes a copy on to its ticket's issuer.
inline constexpr const char* forward_id_header = "tack-forward-id";
/// `yes` in an upstream's answer: it wants no new work.
inline constexpr const char* leaving_header = "tack-leaving";

/// What the fields of a request ask for.
struct request_options
{
    std::optional<std::chrono::milliseconds> deadline;
    std::uint64_t schema_version = 1;
    std::uint64_t least_offset = 0;
    request_class rank = request_class::normal;
    bool idempotent = true;
};

/// Parses the fields; names the first one that can't be read in `bad_field`
/// and returns nothing then.
std::optional<request_options>
parse_options(const http_request& request, const char*& bad_field);

/// Removes the fields that concern one connection only, also those that
/// `connection` names (RFC 9110, 7.6.1), and `expect`.
void strip_connection_fields(http_request& request);
void strip_connection_fields(http_response& response);

} // namespace dandeliontack
