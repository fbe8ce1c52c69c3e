#pragma once

#include <dandeliontack/allotment_keeper.hpp>
#include <dandeliontack/append_queue.hpp>
#include <dandeliontack/departure_watch.hpp>
#include <dandeliontack/fleet_balance.hpp>
#include <dandeliontack/machine_client.hpp>
#include <dandeliontack/machine_list.hpp>
#include <dandeliontack/noted_order.hpp>
#include <dandeliontack/queue_table.hpp>
#include <dandeliontack/shard_claim.hpp>
#include <dandeliontack/shard_router.hpp>
#include <dandeliontack/store_client.hpp>
#include <dandeliontack/upkeep_plan.hpp>

#include <boost/asio/awaitable.hpp>

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dandeliontack
{

/// The leader role for machines: performs upkeep in waves, moves machines
/// between pools of a cell according to demand, and chooses the layout. One
/// node holds the duty at a time; its epoch is the fencing token of its orders
/// to the platform.
class fleet_duty : public std::enable_shared_from_this<fleet_duty>
{
public:
    fleet_duty(
        node_context& context, store_client& store, shard_router& router);

    /// Claims the duty with epoch `last` + 1 and loads its records. Returns
    /// false if another node claimed it first or the store is unavailable.
    boost::asio::awaitable<bool> take_over(std::uint64_t last);
    /// Stops acting; the duty is lost then.
    void hand_over();
    /// Stores the release of the lost duty in the registry.
    boost::asio::awaitable<void> announce_release();
    /// The registry's record of this holder; released once the duty is lost.
    owner_record record() const;

    /// Adds or updates a wave that the operator has requested.
    void request(wave_request wave);
    /// Stores a node's announcement in one append with those of other nodes:
    /// separate appends by many nodes would overload the registry's partition.
    boost::asio::awaitable<bool> announce(node_announcement announcement);
    /// Sets the operator's current configuration.
    void set_table(std::shared_ptr<const queue_table> table);

    bool is_lost() const;

private:
    /// Starts a coroutine of the duty; the duty is given up if it fails.
    void start_coroutine(
        std::string_view name, boost::asio::awaitable<void> coroutine);
    boost::asio::awaitable<void> run_rounds();
    boost::asio::awaitable<void> renew();
    boost::asio::awaitable<bool> load();
    bool lists_all_of(const wave_request& wave) const;
    boost::asio::awaitable<void> advance_wave(std::string wave);
    boost::asio::awaitable<bool> save_wave(std::string wave);
    void start_cooldowns(
        const std::map<std::string, noted_order>& orders,
        const std::optional<duty_tick>& last);
    keyed_record order_record(const std::string& machine, bool ended) const;
    boost::asio::awaitable<void> record_order_end(std::string machine);
    keyed_record wave_record_for(const std::string& wave);
    boost::asio::awaitable<bool>
    record_upkeep_order(std::string wave, std::string machine);
    boost::asio::awaitable<bool>
    append(std::function<append_queue::record_list()> make);
    boost::asio::awaitable<bool>
    append_announcements(append_queue::record_list records);
    boost::asio::awaitable<bool>
    record_orders(std::vector<std::string> machines);
    boost::asio::awaitable<void> report_wave(std::string wave, bool completed);
    /// Reports the waves that are stored as completed, once each.
    boost::asio::awaitable<void> report_completed_waves();
    boost::asio::awaitable<void>
    order_upkeep(std::string wave, listed_machine machine);
    boost::asio::awaitable<void> evacuate_host(listed_machine machine);
    boost::asio::awaitable<void> balance();
    boost::asio::awaitable<void> move(machine_move order);
    boost::asio::awaitable<void> store_layout();
    shard_id shard_of_machine(const listed_machine& machine) const;
    /// Tells the owner of the machine's host that the incarnation which it knew
    /// at `known_before` has ended, by an answer of the platform that was
    /// received at `seen`. Tells nothing if no such moment is known.
    boost::asio::awaitable<bool> report_host_ended(
        listed_machine machine, std::optional<owner_moment> known_before,
        boot_time seen);
    void report_departures();
    boost::asio::awaitable<void> report_departure(listed_machine machine);
    /// Moments of the owners of shards.
    using owner_moments = std::map<shard_id, owner_moment>;
    /// That of the owner of the machine's host.
    std::optional<owner_moment>
    find_moment(const owner_moments& in, const listed_machine& machine) const;
    /// Demands by cell, from the shard owners that answered.
    boost::asio::awaitable<std::vector<std::vector<pool_demand>>>
    collect_demands();
    void log_demands(
        const std::vector<std::vector<pool_demand>>& demands,
        const std::vector<std::vector<listed_machine>>& machines);
    std::set<std::string> excluded_machines() const;
    bool is_kept_empty(
        const std::string& host, std::chrono::milliseconds max_age) const;
    bool is_cooled_down(const std::string& machine) const;
    bool has_valid_claim() const;
    void mark_lost(std::string_view reason);

    struct wave_state
    {
        wave_request request;
        wave_progress_view progress;
        /// Whether the operator's request has been received.
        bool requested = false;
        bool completed = false;
        bool reported = false;
        bool completion_reported = false;
        /// Machines for which an upkeep order is in progress.
        std::set<std::string> ordering;
        wall_time began;
    };

    node_context& context_;
    store_client& store_;
    shard_router& router_;
    machine_client platform_;
    shard_claim claim_;
    std::map<std::string, wave_state> waves_;
    std::vector<listed_machine> machines_;
    /// When the newest list of machines was received.
    boot_time machines_received_;
    departure_watch departures_;
    /// When owners gave their newest answers, and those that had been received
    /// before each of the lists that confirm a departure, the oldest first.
    owner_moments answers_;
    std::array<owner_moments, departure_watch::lists_to_confirm>
        answers_before_lists_;
    /// Hosts whose end is being reported to their owners.
    std::set<std::string> reporting_;
    /// Hosts that their owners reported as empty and keep empty for a while,
    /// with the time of the request.
    std::map<std::string, boot_time> confirmed_empty_;
    std::set<std::string> evacuating_;
    /// Hosts that ran no tasks according to the last answers of their owners.
    std::set<std::string> idle_;
    /// By cell; empty until the layout is known.
    std::vector<fleet_balance> balances_;
    std::shared_ptr<const queue_table> table_;
    /// Divides the limits of accounts; null while no account has one.
    std::unique_ptr<allotment_keeper> keeper_;
    /// Machines that are being moved, with their target pools.
    std::map<std::string, std::string> moving_;
    /// Times before which this node sends no orders for machines to which a
    /// previous holder has sent one.
    std::map<std::string, boot_time> cooldown_ends_;
    boot_time taken_;
    boot_time demands_logged_;
    append_queue appends_;
    fenced_writer registry_writer_;
    append_queue announcements_;
    /// When upkeep began on machines that the platform's list may still show as
    /// up.
    std::map<std::string, boot_time> recently_begun_;
    bool lost_ = false;
};

} // namespace dandeliontack
