#pragma once

#include <dandeliontack/append_queue.hpp>
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

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dandeliontack
{

/// The duty that orders about machines: upkeep in waves, and machines that
/// follow demand within each cell. It also chooses the layout. One node holds
/// it at a time, under an epoch that is the fencing token of its orders.
class fleet_duty : public std::enable_shared_from_this<fleet_duty>
{
public:
    fleet_duty(
        node_context& context, store_client& store, shard_router& router);

    boost::asio::awaitable<bool> take_over(std::uint64_t last);
    boost::asio::awaitable<void> hand_over();

    /// A wave that the operator asks for.
    void request(wave_request wave);
    /// Stores a node's announcement, together with those of others: many
    /// nodes that append by themselves would fill the registry's partition.
    boost::asio::awaitable<bool> announce(node_announcement said);
    /// The operator's configuration in force.
    void set_table(std::shared_ptr<const queue_table> table);

    bool is_lost() const;

private:
    void run_part(std::string_view name, boost::asio::awaitable<void> part);
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> renew();
    boost::asio::awaitable<bool> load();
    boost::asio::awaitable<void> advance(std::string wave);
    boost::asio::awaitable<bool> save(std::string wave);
    void rest_machines(
        const std::map<std::string, noted_order>& orders,
        const std::optional<duty_tick>& last);
    keyed_record order_record(const std::string& machine, bool ended) const;
    boost::asio::awaitable<void> note_end(std::string machine);
    keyed_record record_of(const std::string& wave);
    boost::asio::awaitable<bool>
    note_upkeep(std::string wave, std::string machine);
    boost::asio::awaitable<bool>
    append(std::function<append_queue::record_list()> make);
    boost::asio::awaitable<bool>
    append_announcements(append_queue::record_list records);
    boost::asio::awaitable<bool> note_orders(std::vector<std::string> machines);
    boost::asio::awaitable<void> report(std::string wave, bool completed);
    boost::asio::awaitable<void>
    order_upkeep(std::string wave, listed_machine machine);
    boost::asio::awaitable<void> empty_host(listed_machine machine);
    boost::asio::awaitable<void> balance();
    boost::asio::awaitable<void> move(machine_move order);
    boost::asio::awaitable<void> store_layout();
    shard_id shard_of_machine(const listed_machine& machine) const;
    boost::asio::awaitable<bool> tell_ended(listed_machine machine);
    /// The answers of the owners that could be asked, by cell.
    boost::asio::awaitable<std::vector<std::vector<pool_demand>>>
    collect_demands();
    void log_demands(
        const std::vector<std::vector<pool_demand>>& demands,
        const std::vector<std::vector<listed_machine>>& machines);
    std::set<std::string> kept_machines() const;
    bool
    is_kept_empty(const std::string& host, std::chrono::milliseconds age) const;
    bool is_rested(const std::string& machine) const;
    bool has_right() const;
    void lose(std::string_view reason);

    struct wave_state
    {
        wave_request request;
        wave_progress_view progress;
        bool known = false;
        bool completed = false;
        bool reported = false;
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
    /// When the owners of hosts were asked that said they are kept empty.
    std::map<std::string, boot_time> empty_since_;
    std::set<std::string> emptying_;
    /// Hosts that ran nothing when their owners were asked last.
    std::set<std::string> idle_;
    /// By cell; empty until the layout is known.
    std::vector<fleet_balance> balances_;
    std::shared_ptr<const queue_table> table_;
    /// Machines whose move is under way, with the pool that they join.
    std::map<std::string, std::string> moving_;
    /// When this holder may order machines about that a past one did.
    std::map<std::string, boot_time> rested_at_;
    boot_time taken_;
    boot_time demands_logged_;
    append_queue appends_;
    fenced_writer registry_writer_;
    append_queue announcements_;
    /// When the upkeep of machines began that the list may not show yet.
    std::map<std::string, boot_time> begun_lately_;
    bool lost_ = false;
};

} // namespace dandeliontack
