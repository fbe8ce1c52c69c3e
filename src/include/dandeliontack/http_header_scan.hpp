#pragma once

#include <string_view>

namespace dandeliontack
{

/// What is found in the first bytes of a request.
enum class header_scan
{
    /// The empty line that ends the header has not come yet.
    incomplete,
    complete,
    /// A line feed without a carriage return before it.
    bare_line_feed,
    /// A line that continues the one before it (obs-fold, RFC 9112, 5.2).
    folded_line,
    /// An empty line before the request line.
    empty_first_line
};

/// Scans the bytes of a header for its end, and for the shapes that HTTP
/// implementations read differently and that are therefore refused. Bytes
/// after the end are not looked at. Whatever is found in some bytes is also
/// found with more bytes after them, except `incomplete`.
header_scan scan_header(std::string_view bytes);

} // namespace dandeliontack
