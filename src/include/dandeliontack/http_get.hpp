#pragma once

#include <dandeliontack/endpoint.hpp>
#include <dandeliontack/http.hpp>

#include <boost/json/object.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace dandeliontack
{

/// A page of a process's administration API, and how to get it.
struct page_request
{
    endpoint address;
    std::string target;
    /// Sent as bearer token unless empty.
    std::string token;
    std::chrono::milliseconds timeout = std::chrono::seconds(2);
};

/// The request that fetches a page.
http_request to_http(const page_request& page);

/// Fetches a page and waits for it. Nothing without a whole answer. For
/// command-line programs; servers use `http_connection`.
std::optional<http_response> get_page(const page_request& page);

/// Fetches a JSON object; nothing where the answer is not 200 with one.
std::optional<boost::json::object> get_json_page(const page_request& page);

/// Reads a token file: its first line. An empty path gives no token; a file
/// that can't be read throws `std::runtime_error`.
std::string read_token_file(const std::string& path);

} // namespace dandeliontack
