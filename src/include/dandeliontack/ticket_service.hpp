#pragma once

#include <dandeliontack/entry_settings.hpp>
#include <dandeliontack/incarnation.hpp>
#include <dandeliontack/metrics.hpp>
#include <dandeliontack/ticket.hpp>
#include <dandeliontack/ticket_table.hpp>
#include <dandeliontack/upstream_pool.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace dandeliontack
{

/// A response, and what is certain of the request's run.
struct served
{
    http_response response;
    run_end end = run_end::unknown;
};

/// Runs non-idempotent requests at most once, over all entry processes. Only
/// the process that issued a request's ticket runs it; another passes the
/// copy on to that one, and answers `unknown` where that one is gone. Runs on
/// one executor with one thread.
class ticket_service
{
public:
    /// Runs a request; called at most once for each ticket.
    using run_function =
        std::function<boost::asio::awaitable<served>(http_request)>;

    /// `metrics` must outlive the object. `responses` bounds those of other
    /// entry processes.
    ticket_service(
        boost::asio::any_io_executor executor, const entry_settings& settings,
        metric_registry& metrics, std::shared_ptr<buffer_budget> responses);

    /// Sets where other entry processes reach this one. Needed before
    /// `issue`.
    void set_address(endpoint address);

    /// Answers a call for a ticket.
    http_response issue();

    /// Refuses all further calls for tickets: they would outlive the process.
    void stop_issuing();

    /// Answers one copy of a request. `patience` bounds how long it waits for
    /// another copy or for the issuer.
    boost::asio::awaitable<http_response> handle(
        http_request request, std::chrono::milliseconds patience,
        run_function run);

private:
    using time_point = std::chrono::steady_clock::time_point;

    bool is_peer(const endpoint& where) const;
    boost::asio::awaitable<http_response> handle_own(
        std::uint64_t number, http_request request, time_point deadline,
        run_function run);
    boost::asio::awaitable<http_response>
    run_once(std::uint64_t number, http_request request, run_function run);
    boost::asio::awaitable<http_response> pass_on(
        const ticket& of, http_request request,
        std::chrono::milliseconds patience);
    boost::asio::awaitable<void>
    wait_for_end(std::uint64_t number, time_point deadline);
    void finish(std::uint64_t number, run_end end, const http_response* answer);
    http_response answer_to(const ticket_claim& claim);

    boost::asio::any_io_executor executor_;
    metric_registry& metrics_;
    incarnation self_;
    endpoint address_;
    std::set<std::string> peers_;
    ticket_table table_;
    upstream_pool issuers_;
    std::multimap<std::uint64_t, boost::asio::steady_timer> waiting_;
    std::uint64_t last_forward_ = 0;
    bool issuing_ = true;
};

} // namespace dandeliontack
