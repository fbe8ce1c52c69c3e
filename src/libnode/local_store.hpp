#pragma once

#include <dandeliontack/http_server.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <string>
#include <utility>

namespace dandeliontack::test
{

/// A fake store on loopback. For one thread.
class local_store
{
public:
    explicit local_store(boost::asio::io_context& context)
        : server_(
              context.get_executor(), {}, metrics_,
              [this](http_request request) {
                  return serve(std::move(request));
              }),
          address(server_.listen({"127.0.0.1", 0}))
    {}
    virtual ~local_store() = default;
    local_store(const local_store&) = delete;
    local_store& operator=(const local_store&) = delete;

private:
    /// The response to a request for `target`.
    virtual http_response answer(const std::string& target) = 0;

    boost::asio::awaitable<http_response> serve(http_request request)
    {
        co_return answer(std::string(request.target()));
    }

    metric_registry metrics_;
    http_server server_;

public:
    endpoint address;
};

} // namespace dandeliontack::test
