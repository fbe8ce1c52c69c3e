#pragma once

#include <dandeliontack/admission.hpp>
#include <dandeliontack/entry_settings.hpp>
#include <dandeliontack/http.hpp>
#include <dandeliontack/log.hpp>
#include <dandeliontack/metrics.hpp>
#include <dandeliontack/request_fields.hpp>
#include <dandeliontack/request_target.hpp>
#include <dandeliontack/retry_budget.hpp>
#include <dandeliontack/routing.hpp>
#include <dandeliontack/ticket_service.hpp>
#include <dandeliontack/upstream_pool.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace dandeliontack
{

/// Answers callers' requests by forwarding them to upstreams. Runs on one
/// executor with one thread.
class entry_service
{
public:
    /// `metrics` must outlive the service.
    entry_service(
        boost::asio::any_io_executor executor, const entry_settings& settings,
        metric_registry& metrics);

    /// Takes a newer routing table. One that is older than the present one is
    /// ignored.
    void set_table(routing_table table);
    /// Takes note of when the table was last confirmed to be current. Where
    /// that is longer ago than a pool's bound, a pool that says `refuse` gets
    /// no requests. `applied` is what the table stands for by now.
    void set_confirmed(
        std::chrono::steady_clock::time_point when,
        const applied_position& applied);
    /// How far the streams are applied in what this process routes by. It
    /// never goes back.
    const applied_position& applied() const
    {
        return applied_;
    }
    const routing_table& table() const
    {
        return table_;
    }
    bool has_table() const
    {
        return has_table_;
    }

    /// Sets where other entry processes reach this one's callers' port.
    void set_address(endpoint address);

    /// Issues no more tickets, because the process is about to stop.
    void prepare_stop();

    /// Answers one request: with its upstream's whole response, or with a
    /// problem document.
    boost::asio::awaitable<http_response> handle(http_request request);

private:
    using time_point = std::chrono::steady_clock::time_point;

    // A request on its way to a service.
    struct call
    {
        service_key service;
        request_options options;
        http_request request;
        time_point started;
        time_point deadline;
    };
    // What one attempt to have it run came to.
    struct attempt
    {
        http_response response;
        run_end end = run_end::unknown;
        // Whether another upstream may do better.
        bool worth_retry = false;
    };

    void advance_to(const applied_position& position);
    boost::asio::awaitable<http_response> answer(http_request request);
    // Whether the pool refuses requests since the table may be out of date.
    bool is_stale(const route& to) const;
    boost::asio::awaitable<served> serve(call c);
    boost::asio::awaitable<served> serve_routed(call c);
    boost::asio::awaitable<attempt> try_once(call& c);
    boost::asio::awaitable<attempt> send(call& c, upstream_pool::lease lease);
    attempt
    judge(exchange_result result, const std::string& id, upstream_pool::lease&);
    attempt refused(admission_refusal why);
    bool may_retry(const call& c, const attempt& last);
    const std::vector<upstream>& upstreams_of(const service_key& key) const;
    http_response not_run(
        boost::beast::http::status status, std::string_view title,
        std::string_view detail);

    http_response too_old();

    entry_settings settings_;
    metric_registry& metrics_;
    counter& requests_;
    summary& request_times_;
    part_log out_;
    routing_table table_;
    bool has_table_ = false;
    applied_position applied_;
    std::chrono::steady_clock::time_point confirmed_;
    /// What the responses that are being read may hold together.
    std::shared_ptr<buffer_budget> responses_;
    upstream_pool upstreams_;
    admission admission_;
    retry_budget retries_;
    ticket_service tickets_;
    std::string request_prefix_;
    std::uint64_t last_request_ = 0;
};

/// The administration page of an entry process: `/v1/status`.
http_response entry_status(const entry_service& service);

} // namespace dandeliontack
