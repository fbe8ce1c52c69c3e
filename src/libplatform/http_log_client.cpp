#include "log.pb.h"
#include <dandeliontack/http_connection.hpp>
#include <dandeliontack/log_client.hpp>

#include <boost/beast/http.hpp>

#include <array>
#include <utility>

namespace dandeliontack
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

// Streams are read in parallel with appends, and each exchange holds its
// connection, so every use has one of its own.
struct stream_connections
{
    http_connection appends;
    http_connection reads;
};

class http_log_client final : public log_client
{
public:
    http_log_client(
        const asio::any_io_executor& executor, const endpoint& service,
        std::chrono::milliseconds timeout)
        : service_(service),
          timeout_(timeout),
          connections_{
              stream_connections{{executor, service}, {executor, service}},
              stream_connections{{executor, service}, {executor, service}}}
    {}

    asio::awaitable<append_outcome>
    append(log_stream stream, std::vector<std::string> records) override;
    asio::awaitable<read_outcome> read(
        log_stream stream, std::uint64_t from,
        std::chrono::milliseconds wait) override;

private:
    http_request make_request(http::verb method, const std::string& target)
    {
        http_request request{method, target, 11};
        request.set(http::field::host, to_string(service_));
        return request;
    }
    stream_connections& of(log_stream stream)
    {
        return connections_.at(static_cast<std::size_t>(stream));
    }

    endpoint service_;
    std::chrono::milliseconds timeout_;
    std::array<stream_connections, 2> connections_;
};

std::string records_target(log_stream stream)
{
    return stream == log_stream::operators ? "/streams/operators/records"
                                           : "/streams/system/records";
}

append_outcome interpret_append(const exchange_result& result)
{
    if (const auto* error = std::get_if<exchange_error>(&result))
    {
        if (error->result == outcome::not_run)
            return append_refused{error->reason};
        return append_unknown{error->reason};
    }
    const auto& response = std::get<http_response>(result);
    if (response.result() == http::status::ok)
    {
        wire::log_append_reply reply;
        if (reply.ParseFromString(response.body()))
            return appended{reply.first_offset()};
        return append_unknown{"unreadable reply"};
    }
    const auto reason = "status " + std::to_string(response.result_int());
    // The service promises that 4xx and 503 leave the log unchanged.
    const bool refused = http::to_status_class(response.result()) ==
                             http::status_class::client_error ||
                         response.result() == http::status::service_unavailable;
    if (refused)
        return append_refused{reason};
    return append_unknown{reason};
}

read_outcome interpret_read(const exchange_result& result)
{
    if (const auto* error = std::get_if<exchange_error>(&result))
        return read_failed{error->reason};
    const auto& response = std::get<http_response>(result);
    wire::log_read_reply reply;
    if (response.result() != http::status::ok)
        return read_failed{"status " + std::to_string(response.result_int())};
    if (!reply.ParseFromString(response.body()))
        return read_failed{"unreadable reply"};
    return log_batch{
        reply.oldest(),
        reply.first_offset(),
        {reply.records().begin(), reply.records().end()},
        reply.end()};
}

asio::awaitable<append_outcome>
http_log_client::append(log_stream stream, std::vector<std::string> records)
{
    wire::log_append_request body;
    for (auto& record : records)
        body.add_records(std::move(record));
    auto request = make_request(http::verb::post, records_target(stream));
    request.set(http::field::content_type, "application/x-protobuf");
    request.body() = body.SerializeAsString();
    request.prepare_payload();
    const auto result =
        co_await of(stream).appends.exchange(std::move(request), timeout_);
    co_return interpret_append(result);
}

asio::awaitable<read_outcome> http_log_client::read(
    log_stream stream, std::uint64_t from, std::chrono::milliseconds wait)
{
    auto request = make_request(
        http::verb::get, records_target(stream) +
                             "?from=" + std::to_string(from) +
                             "&wait_ms=" + std::to_string(wait.count()));
    const auto result = co_await of(stream).reads.exchange(
        std::move(request), wait + timeout_, {}, body_time_of(timeout_));
    co_return interpret_read(result);
}

} // namespace

std::unique_ptr<log_client> make_http_log_client(
    asio::any_io_executor executor, endpoint service,
    std::chrono::milliseconds timeout)
{
    return std::make_unique<http_log_client>(executor, service, timeout);
}

} // namespace dandeliontack
