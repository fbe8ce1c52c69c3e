#include <dandeliontack/host_list.hpp>
#include <dandeliontack/http_connection.hpp>

#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <array>
#include <utility>

namespace dandeliontack
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace
{

listing parse_listing(std::string_view text)
{
    if (text == "live")
        return listing::live;
    return text == "leaving" ? listing::leaving : listing::gone;
}

std::uint64_t number_or(
    const json::object& from, std::string_view key, std::uint64_t fallback)
{
    const auto* value = from.if_contains(key);
    return value ? value->to_number<std::uint64_t>() : fallback;
}

std::string text_or_empty(const json::object& from, std::string_view key)
{
    const auto* value = from.if_contains(key);
    return value ? json::value_to<std::string>(*value) : std::string();
}

// Throws where a member is missing or of the wrong type.
listed_host parse_host(const json::value& value)
{
    const auto& from = value.as_object();
    const auto address =
        parse_endpoint(json::value_to<std::string>(from.at("address")));
    if (!address)
        throw std::invalid_argument("address is not an IP number and a port");
    return {
        json::value_to<std::string>(from.at("name")),
        *address,
        parse_listing(json::value_to<std::string>(from.at("state"))),
        text_or_empty(from, "data_centre"),
        text_or_empty(from, "rack"),
        number_or(from, "processors", 0),
        number_or(from, "memory_mb", 0),
        number_or(from, "accelerators", 0),
        number_or(from, "slots", 8),
        number_or(from, "connections", 64)};
}

class http_host_list_client final : public host_list_client
{
public:
    http_host_list_client(
        asio::any_io_executor executor, const endpoint& service,
        std::chrono::milliseconds timeout)
        : service_(service),
          timeout_(timeout),
          connection_(std::move(executor), service)
    {}

    asio::awaitable<host_list_outcome> fetch() override
    {
        http_request request{http::verb::get, "/hosts", 11};
        request.set(http::field::host, to_string(service_));
        if (!etag_.empty())
            request.set(http::field::if_none_match, etag_);
        const auto result = co_await connection_.exchange(
            std::move(request), timeout_, {}, body_time_of(timeout_));
        if (const auto* error = std::get_if<exchange_error>(&result))
            co_return host_list_failed{error->reason};
        const auto& response = std::get<http_response>(result);
        if (response.result() == http::status::not_modified && !etag_.empty())
            co_return last_;
        if (response.result() != http::status::ok)
            co_return host_list_failed{
                "status " + std::to_string(response.result_int())};
        auto parsed = parse_host_list(response.body());
        remember(response, parsed);
        co_return parsed;
    }

private:
    // The list is large and seldom changes: with the platform's entity tag a
    // fetch of the same list costs a header.
    void remember(const http_response& response, const host_list_outcome& list)
    {
        const auto* hosts = std::get_if<std::vector<listed_host>>(&list);
        etag_ =
            hosts ? std::string(response[http::field::etag]) : std::string();
        if (!etag_.empty())
            last_ = *hosts;
    }

    endpoint service_;
    std::chrono::milliseconds timeout_;
    http_connection connection_;
    // The tag of `last_`, or empty where the platform gives none.
    std::string etag_;
    std::vector<listed_host> last_;
};

} // namespace

host_list_outcome parse_host_list(std::string_view text)
{
    try
    {
        const auto document = json::parse(text);
        std::vector<listed_host> hosts;
        for (const auto& host : document.at("hosts").as_array())
            hosts.push_back(parse_host(host));
        return hosts;
    }
    catch (const std::exception& error)
    {
        return host_list_failed{error.what()};
    }
}

std::unique_ptr<host_list_client> make_http_host_list_client(
    asio::any_io_executor executor, endpoint service,
    std::chrono::milliseconds timeout)
{
    return std::make_unique<http_host_list_client>(
        std::move(executor), service, timeout);
}

} // namespace dandeliontack
