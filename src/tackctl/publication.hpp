#pragma once

#include "commands.hpp"
#include <dandeliontack/config_events.hpp>
#include <dandeliontack/http_connection.hpp>
#include <dandeliontack/log_client.hpp>
#include <dandeliontack/metrics.hpp>
#include <dandeliontack/proposer.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <vector>

namespace dandeliontack::tackctl
{

using json_answer = std::optional<boost::json::object>;

/// Fetches a JSON object from the control process; nothing where it does not
/// answer with one.
boost::asio::awaitable<json_answer> get_json(
    http_connection& connection, const options& chosen, std::string target);

/// Publishes values based on the revisions now in force, and waits until
/// each is accepted or rejected.
class publication
{
public:
    publication(
        boost::asio::any_io_executor executor, const options& chosen,
        std::vector<config_event> events);

    /// Returns the exit code.
    boost::asio::awaitable<int> run();

private:
    boost::asio::awaitable<int> run_to_outcome();
    boost::asio::awaitable<bool> append();
    boost::asio::awaitable<int> wait_for_outcome(std::uint64_t sequence);
    bool timed_out() const;
    void report(
        const config_event& e, std::string_view state,
        const boost::json::object& details) const;

    options chosen_;
    std::vector<config_event> events_;
    std::vector<std::uint64_t> sequences_;
    std::chrono::steady_clock::time_point until_;
    boost::asio::any_io_executor executor_;
    metric_registry metrics_;
    std::unique_ptr<log_client> log_;
    proposer proposals_;
    http_connection control_;
};

} // namespace dandeliontack::tackctl
