#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace dandeliontack
{

/// Compresses a text, with a checksum (zlib's format, RFC 1950). Throws
/// `std::bad_alloc` without memory for it.
std::string deflate(std::string_view text);

/// The text that was compressed; empty if `bytes` are not the whole of one, or
/// if it has more than `most_bytes`.
std::optional<std::string>
inflate(std::string_view bytes, std::size_t most_bytes);

} // namespace dandeliontack
