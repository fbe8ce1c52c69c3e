#include <dandeliontack/http_connection.hpp>
#include <dandeliontack/http_platform_commands.hpp>

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

command_outcome interpret(const exchange_result& result)
{
    if (const auto* error = std::get_if<exchange_error>(&result))
        return command_unknown{error->reason};
    const auto& response = std::get<http_response>(result);
    if (response.result() == http::status::ok)
        return command_done{};
    if (response.result() == http::status::conflict)
        return command_fenced{};
    return command_unknown{"status " + std::to_string(response.result_int())};
}

std::string_view name_of(job_action action)
{
    constexpr std::array names{"start", "throttle", "checkpoint", "stop"};
    return names.at(static_cast<std::size_t>(action));
}

std::string body_of(const host_command& command)
{
    return json::serialize(json::object{
        {"action", command.action},
        {"term", command.term},
        {"offset", command.offset}});
}

std::string body_of(const job_command& command)
{
    return json::serialize(json::object{
        {"action", name_of(command.action)},
        {"host", command.host},
        {"lease", command.lease},
        {"term", command.term},
        {"offset", command.offset}});
}

class http_platform_commands final : public platform_commands
{
public:
    http_platform_commands(
        asio::any_io_executor executor, const endpoint& service,
        std::chrono::milliseconds timeout)
        : service_(service),
          timeout_(timeout),
          connection_(std::move(executor), service)
    {}

    asio::awaitable<command_outcome> send(const host_command& command) override
    {
        const auto target = "/hosts/" + command.host + "/commands";
        co_return co_await post(target, body_of(command));
    }
    asio::awaitable<command_outcome> send(const job_command& command) override
    {
        const auto target = "/jobs/" + command.job + "/commands";
        co_return co_await post(target, body_of(command));
    }

private:
    asio::awaitable<command_outcome> post(std::string target, std::string body)
    {
        http_request request{http::verb::post, target, 11};
        request.set(http::field::host, to_string(service_));
        request.set(http::field::content_type, "application/json");
        request.body() = std::move(body);
        request.prepare_payload();
        const auto result =
            co_await connection_.exchange(std::move(request), timeout_);
        co_return interpret(result);
    }

    endpoint service_;
    std::chrono::milliseconds timeout_;
    http_connection connection_;
};

} // namespace

std::unique_ptr<platform_commands> make_http_platform_commands(
    asio::any_io_executor executor, endpoint service,
    std::chrono::milliseconds timeout)
{
    return std::make_unique<http_platform_commands>(
        std::move(executor), service, timeout);
}

} // namespace dandeliontack
