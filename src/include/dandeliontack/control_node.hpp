#pragma once

#include <dandeliontack/control_server.hpp>
#include <dandeliontack/control_settings.hpp>
#include <dandeliontack/host_list.hpp>
#include <dandeliontack/http_server.hpp>
#include <dandeliontack/log.hpp>
#include <dandeliontack/log_client.hpp>
#include <dandeliontack/log_order.hpp>
#include <dandeliontack/metrics.hpp>
#include <dandeliontack/peer_client.hpp>
#include <dandeliontack/proposer.hpp>
#include <dandeliontack/reducer.hpp>

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace dandeliontack
{

/// What became of a published record.
struct record_outcome
{
    std::uint64_t offset = 0;
    bool accepted = false;
    findings found;
};

/// Tails the log, applies it and tells the entry processes what to route by.
/// All of it runs on one executor with one thread.
class control_node
{
public:
    /// All references must outlive the node.
    control_node(
        boost::asio::any_io_executor executor, control_settings settings,
        log_client& log, host_list_client& hosts, control_server& server,
        metric_registry& metrics);

    /// Starts all loops. `peer_address` is where peers reach this process.
    void start(const endpoint& peer_address);

    /// Leaves the membership and stops proposing. Waits for the last records
    /// to be appended up to `patience`.
    boost::asio::awaitable<void> stop(std::chrono::milliseconds patience);

    using applied_handler =
        std::function<void(const event& e, const effects& todo)>;

    /// Calls `observe` after each applied event, also while the log is
    /// replayed.
    void on_applied(applied_handler observe);

    /// Whether this node decides for all at present: it holds the current term
    /// and its lease still runs by its own clock. Ask again right before each
    /// effect, since the process may have been frozen.
    bool leads() const;

    /// The term that this node decides under; meaningful while `leads`.
    std::uint64_t term() const
    {
        return state_.membership.term.number;
    }

    /// Appends a decision to the system's stream under the current term; does
    /// nothing unless this node leads. What becomes of it is only known when
    /// it is applied.
    void propose(event_body body);

    /// Appends what this node says of itself, whoever leads. Records of this
    /// kind carry no term.
    void propose_as_member(event_body body);

    /// Decisions that the log has not confirmed yet.
    std::size_t backlog() const
    {
        return proposals_.backlog();
    }

    const state& current() const
    {
        return state_;
    }
    const control_settings& settings() const
    {
        return settings_;
    }
    const incarnation& self() const
    {
        return proposals_.writer();
    }
    const std::vector<listed_host>& hosts() const
    {
        return hosts_listed_;
    }

    /// Whether the log was read to its end at least once and has no gap.
    bool ready() const;
    /// Why the node can't go on, where records were lost; else empty.
    const std::string& gap() const
    {
        return gap_;
    }

    /// What became of an operator record, or nothing where it was not seen
    /// yet or so long ago that it is forgotten.
    std::optional<record_outcome>
    outcome_of(const incarnation& writer, std::uint64_t sequence) const;

private:
    using record_key = std::pair<incarnation, std::uint64_t>;

    static leadership::instant monotonic_now();
    boost::asio::awaitable<void> run_log();
    boost::asio::awaitable<bool> load();
    boost::asio::awaitable<std::optional<log_batch>>
    read_log(log_stream stream, std::uint64_t from, std::chrono::milliseconds);
    boost::asio::awaitable<void> tail(log_stream stream);
    void note_gap(std::uint64_t wanted, std::uint64_t oldest);
    void write_snapshot_if_due();
    boost::asio::awaitable<void> poll_hosts();
    boost::asio::awaitable<void> order_operators();
    void take_batch(log_stream stream, const log_batch& batch);
    void apply_ready();
    void apply(const event& e);
    void note_outcome(const event& e, const effects& todo);
    boost::asio::awaitable<void> keep_membership();
    void join_if_missing();
    void propose_membership();
    boost::asio::awaitable<void> relay_from_peers();
    const member* next_peer();
    void take_relayed(const relayed_records& got);
    void take_record(
        log_stream stream, std::uint64_t offset, const std::string& record);
    void publish_routing();
    void confirm_fresh(std::chrono::steady_clock::time_point when);
    std::chrono::milliseconds ordering_delay() const;

    boost::asio::any_io_executor executor_;
    control_settings settings_;
    log_client& log_;
    host_list_client& host_list_;
    control_server& server_;
    metric_registry& metrics_;
    part_log out_;

    log_order order_;
    state state_;
    proposer proposals_;
    leadership leadership_;
    boost::asio::steady_timer unordered_;
    std::vector<listed_host> hosts_listed_;
    std::map<record_key, record_outcome> outcomes_;
    std::deque<record_key> outcome_age_;
    std::vector<applied_handler> observers_;
    endpoint peer_address_;
    peer_client peers_;
    incarnation last_asked_;
    std::chrono::steady_clock::time_point log_confirmed_;
    std::chrono::steady_clock::time_point snapshot_proposed_;
    std::uint64_t snapshot_proposed_end_ = 0;
    bool caught_up_ = false;
    bool join_pending_ = false;
    bool stopping_ = false;
    std::string gap_;
};

/// The administration API of a control process, behind `admin_pages`.
http_server::handler make_control_api(const control_node& node);

} // namespace dandeliontack
