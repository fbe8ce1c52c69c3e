#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>
#include <string_view>

namespace dandeliontack
{

using http_request =
    boost::beast::http::request<boost::beast::http::string_body>;
using http_response =
    boost::beast::http::response<boost::beast::http::string_body>;

/// What is certain of a request that was not answered by its upstream.
enum class outcome
{
    /// No byte of it reached an upstream, or the upstream said so itself.
    not_run,
    /// It may or may not have run.
    unknown
};

/// Carries the outcome of a problem document.
inline constexpr const char* outcome_header = "tack-outcome";

/// `not-run` or `unknown`, as problem documents carry it.
std::string_view to_string(outcome value);

/// A response with a body of the given media type.
http_response make_response(
    boost::beast::http::status status, std::string_view content_type,
    std::string body);

/// A problem document (RFC 9457) with the member `outcome`. `title` is a
/// fixed text for the kind of refusal, `detail` says more about this one.
http_response make_problem(
    boost::beast::http::status status, outcome result, std::string_view title,
    std::string_view detail);

/// The value of `name` in the query part of a request target, or nothing as
/// an empty text. No percent-decoding is done.
std::string query_value(std::string_view target, std::string_view name);

/// The target without its query part.
std::string_view target_path(std::string_view target);

} // namespace dandeliontack
