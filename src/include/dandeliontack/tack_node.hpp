#pragma once

#include <dandeliontack/caller_front.hpp>
#include <dandeliontack/configuration_relay.hpp>
#include <dandeliontack/fleet_duty.hpp>
#include <dandeliontack/http_server.hpp>
#include <dandeliontack/node_context.hpp>
#include <dandeliontack/shard_map.hpp>
#include <dandeliontack/shard_router.hpp>
#include <dandeliontack/stall_watch.hpp>
#include <dandeliontack/store_client.hpp>
#include <dandeliontack/topic_follower.hpp>

#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>

namespace dandeliontack
{

/// One node of the service: handles callers' requests, owns shards, and may
/// hold the fleet duty (see `fleet_shard`). Everything runs on one executor.
class tack_node
{
public:
    explicit tack_node(node_context& context);
    tack_node(const tack_node&) = delete;
    tack_node& operator=(const tack_node&) = delete;

    /// Binds all addresses and starts the node's tasks. Throws if an address
    /// can't be bound.
    void start();

    /// Reports not ready, releases all shards, completes open requests, and
    /// returns within `grace`.
    boost::asio::awaitable<void> stop(std::chrono::milliseconds grace);

private:
    boost::asio::awaitable<void> announce_regularly();
    boost::asio::awaitable<bool> announce_through_duty(std::string record);
    boost::asio::awaitable<bool> announce_directly(
        fenced_writer& writer, std::uint64_t& last,
        std::vector<keyed_record> records);
    boost::asio::awaitable<shard_answer> store_announcement(std::string record);
    std::chrono::milliseconds announce_interval() const;
    boost::asio::awaitable<void> give_up_shards_through_duty();
    double operator_read_limit() const;
    store_health current_store_health() const;
    std::set<shard_id> held_shards() const;
    boost::asio::awaitable<void> claim_regularly();
    boost::asio::awaitable<void> claim(shard_id shard);
    boost::asio::awaitable<void> claim_duty();
    std::uint64_t last_epoch(shard_id shard) const;
    void record_claim_result(shard_id shard, std::uint64_t after, bool taken);
    boost::asio::awaitable<void> load_layout();
    /// Also watches for stalls, at the same interval.
    boost::asio::awaitable<void> write_log_regularly();
    /// Lets a server tell how long a request may have waited in its socket.
    http_limits with_arrivals(http_limits limits) const;
    boost::asio::awaitable<void> hand_over(std::shared_ptr<shard_owner> owner);
    /// Hands over the shard with the least work if another node has much less
    /// load.
    void balance_shards(const std::set<shard_id>& wanted);
    boost::asio::awaitable<void> hand_over(std::shared_ptr<fleet_duty> duty);
    boost::asio::awaitable<void> hand_over_all(std::shared_ptr<bool> done);
    void apply_operator_record(const keyed_record& record);
    /// Puts a configuration into force if it is newer. `source` is where it was
    /// read, `sender` the node that sent it, if any.
    void apply_configuration(
        std::string_view encoded, std::string_view source,
        const peer_version* sender = nullptr);
    void put_in_force(queue_table table, std::string_view encoded);
    /// Fetches a newer configuration from one of the nodes, if any has one.
    boost::asio::awaitable<void>
    ask_for_configuration(std::vector<node_announcement> nodes);
    /// Asks other nodes for the configuration while this one can't read the
    /// store.
    boost::asio::awaitable<void> relay_configuration();
    void apply_host_record(const keyed_record& record);
    void assign_hosts();
    bool is_known_pool(const std::string& pool) const;
    void drop_lost_shards();
    bool is_ready() const;
    node_announcement announcement() const;

    node_context& context_;
    store_client store_;
    advice_client advice_;
    shard_map shards_;
    shard_router router_;
    configuration_relay relay_;
    caller_front front_;
    topic_follower operator_records_;
    topic_follower registry_;
    topic_follower host_records_;
    stall_watch stalls_;
    std::shared_ptr<connection_budget> connections_;
    http_server callers_;
    http_server readiness_;
    http_server peers_;
    http_server metrics_;
    std::map<std::string, host_entry> hosts_;
    std::set<std::string> known_pools_;
    /// Since when the configuration has been in force here.
    boot_time in_force_since_;
    bool hosts_changed_ = false;
    bool following_hosts_ = false;
    std::map<std::string, wave_request> waves_;
    std::set<shard_id> claiming_;
    /// Failed claims: the epoch that was tried, and the time of the failure.
    std::map<shard_id, std::pair<std::uint64_t, boot_time>> failed_claims_;
    std::shared_ptr<fleet_duty> duty_;
    std::uint64_t sequence_ = 0;
    /// The epoch of this process in the registry; 0 before the first
    /// announcement.
    std::uint64_t node_epoch_ = 0;
    /// When the shards that this node owns changed last.
    boot_time owned_changed_;
    bool leaving_ = false;
    bool without_store_ = false;
    wake_signal announce_now_;
};

} // namespace dandeliontack
