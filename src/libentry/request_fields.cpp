#include <dandeliontack/request_fields.hpp>
#include <dandeliontack/request_target.hpp>

#include <boost/beast/http.hpp>

#include <array>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace dandeliontack
{

namespace http = boost::beast::http;

namespace
{

constexpr std::uint64_t longest_deadline_ms = 3'600'000;
constexpr std::uint64_t highest_version = 1'000'000;

constexpr std::array hop_by_hop{
    http::field::connection,
    http::field::keep_alive,
    http::field::proxy_authenticate,
    http::field::proxy_authorization,
    http::field::te,
    http::field::trailer,
    http::field::transfer_encoding,
    http::field::upgrade,
    http::field::expect,
    http::field::proxy_connection};

// The body's length and whom a request is for are no connection's matter,
// whatever `connection` names.
bool may_be_named(boost::beast::string_view name)
{
    return !boost::beast::iequals(name, "content-length") &&
           !boost::beast::iequals(name, "host") &&
           !boost::beast::iequals(name.substr(0, 5), "tack-");
}

template <class Message>
void strip(Message& message)
{
    std::vector<std::string> named;
    for (const auto& name : http::token_list(message[http::field::connection]))
        if (may_be_named(name))
            named.emplace_back(name);
    for (const auto& name : named)
        message.erase(name);
    for (const auto name : hop_by_hop)
        message.erase(name);
}

bool parse_deadline(std::string_view text, request_options& out)
{
    const auto value = parse_bounded(text, 1, longest_deadline_ms);
    if (value)
        out.deadline = std::chrono::milliseconds(*value);
    return value.has_value();
}

bool parse_version(std::string_view text, request_options& out)
{
    const auto value = parse_bounded(text, 1, highest_version);
    out.schema_version = value.value_or(1);
    return value.has_value();
}

bool parse_offset(std::string_view text, request_options& out)
{
    const auto value =
        parse_bounded(text, 0, std::numeric_limits<std::uint64_t>::max());
    out.least_offset = value.value_or(0);
    return value.has_value();
}

bool parse_class(std::string_view text, request_options& out)
{
    const auto value = parse_request_class(text);
    out.rank = value.value_or(request_class::normal);
    return value.has_value();
}

bool parse_idempotent(std::string_view text, request_options& out)
{
    out.idempotent = text == "yes";
    return text == "yes" || text == "no";
}

struct option_row
{
    const char* name;
    bool (*parse)(std::string_view text, request_options& out);
};

constexpr std::array rows{
    option_row{deadline_header, parse_deadline},
    option_row{version_header, parse_version},
    option_row{offset_header, parse_offset},
    option_row{class_header, parse_class},
    option_row{idempotent_header, parse_idempotent}};

} // namespace

std::optional<request_options>
parse_options(const http_request& request, const char*& bad_field)
{
    request_options out;
    out.idempotent = request.method() != http::verb::post &&
                     request.method() != http::verb::patch;
    for (const auto& row : rows)
    {
        const auto found = request.find(row.name);
        if (found == request.end())
            continue;
        const auto value = found->value();
        const bool twice = request.count(row.name) > 1;
        if (twice || !row.parse({value.data(), value.size()}, out))
        {
            bad_field = row.name;
            return std::nullopt;
        }
    }
    return out;
}

void strip_connection_fields(http_request& request)
{
    strip(request);
}

void strip_connection_fields(http_response& response)
{
    strip(response);
}

} // namespace dandeliontack
