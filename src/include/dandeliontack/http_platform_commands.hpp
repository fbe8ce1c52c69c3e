#pragma once

#include <dandeliontack/endpoint.hpp>
#include <dandeliontack/platform_commands.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <memory>

namespace dandeliontack
{

/// Commands over HTTP, `POST /hosts/NAME/commands` and `POST
/// /jobs/NAME/commands` with a JSON object of `action`, `term` and `offset`.
/// `timeout` bounds each call.
std::unique_ptr<platform_commands> make_http_platform_commands(
    boost::asio::any_io_executor executor, endpoint service,
    std::chrono::milliseconds timeout);

} // namespace dandeliontack
