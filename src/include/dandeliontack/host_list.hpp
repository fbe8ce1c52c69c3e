#pragma once

#include <dandeliontack/endpoint.hpp>
#include <dandeliontack/finding.hpp>
#include <dandeliontack/routing.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace dandeliontack
{

/// The list could not be fetched or read.
struct host_list_failed
{
    std::string reason;
};

using host_list_outcome =
    std::variant<std::vector<listed_host>, host_list_failed>;

/// Parses the platform's host list (JSON, `{"hosts": [...]}`).
host_list_outcome parse_host_list(std::string_view text);

/// The platform's lagging list of live and leaving hosts.
class host_list_client
{
public:
    virtual ~host_list_client() = default;
    virtual boost::asio::awaitable<host_list_outcome> fetch() = 0;
};

/// The list over HTTP, `GET /hosts`. Where the platform gives an entity tag,
/// a list that has not changed is not sent again. `timeout` bounds each call.
std::unique_ptr<host_list_client> make_http_host_list_client(
    boost::asio::any_io_executor executor, endpoint service,
    std::chrono::milliseconds timeout);

} // namespace dandeliontack
