#pragma once

#include <dandeliontack/http.hpp>

#include <string>

namespace dandeliontack
{

/// The bytes of a message before its body. The message must not be chunked.
/// One text costs a connection less than the library's serializer, which
/// sends each field as buffers of its own.
std::string head_of(const http_request& message);
std::string head_of(const http_response& message);

} // namespace dandeliontack
