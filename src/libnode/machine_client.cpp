#include <dandeliontack/machine_client.hpp>

#include <boost/asio.hpp>
#include <platform/machine_calls.hpp>

#include <algorithm>
#include <utility>

namespace dandeliontack
{

namespace asio = boost::asio;

namespace
{

// Longer than the response time of a platform that is slow but available.
constexpr auto call_timeout = std::chrono::milliseconds(1500);

} // namespace

machine_client::machine_client(node_context& context, send_permission may_order)
    : context_(context),
      address_(to_string(context.settings.machines.address)),
      may_order_(std::move(may_order))
{}

asio::awaitable<std::optional<machine_listing>> machine_client::list()
{
    machine_listing all;
    std::string page_token;
    while (true)
    {
        auto request = platform::encode_machine_list(address_, page_token);
        auto result = co_await context_.connections.exchange(
            context_.settings.machines.address, std::move(request),
            call_timeout);
        context_.metrics.get_counter("tack_machine_calls_total").add();
        const auto* response = std::get_if<http_response>(&result);
        if (!response)
            co_return std::nullopt;
        auto page = platform::decode_machine_list(*response);
        if (const auto* errors = std::get_if<findings>(&page))
        {
            context_.log.write(
                "machines", "machines_unreadable",
                log_line().add("reason", to_string(errors->front())));
            co_return std::nullopt;
        }
        auto& page_content = std::get<machine_page>(page);
        std::ranges::move(
            page_content.machines, std::back_inserter(all.machines));
        all.complete = all.complete && page_content.complete;
        if (page_content.next.empty())
            break;
        page_token = page_content.next;
    }
    co_return all;
}

asio::awaitable<machine_answer> machine_client::order(http_request request)
{
    auto result = co_await context_.connections.exchange(
        context_.settings.machines.address, std::move(request), call_timeout,
        may_order_);
    context_.metrics.get_counter("tack_machine_calls_total").add();
    if (const auto* response = std::get_if<http_response>(&result))
        co_return platform::decode_machine_answer(*response);
    co_return std::get<exchange_error>(result).result == outcome::not_run
        ? machine_answer::refused
        : machine_answer::unknown;
}

asio::awaitable<machine_answer> machine_client::upkeep(
    std::string machine, std::string wave, std::uint64_t fencing_token)
{
    const platform::machine_lease_holder holder{
        context_.settings.node.name, fencing_token};
    return order(platform::encode_upkeep(address_, holder, machine, wave));
}

asio::awaitable<machine_answer> machine_client::move(
    std::string machine, std::string pool, std::uint64_t fencing_token)
{
    const platform::machine_lease_holder holder{
        context_.settings.node.name, fencing_token};
    return order(platform::encode_move(address_, holder, machine, pool));
}

} // namespace dandeliontack
