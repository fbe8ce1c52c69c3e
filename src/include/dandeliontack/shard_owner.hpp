#pragma once

#include <dandeliontack/answer_times.hpp>
#include <dandeliontack/pool_engine.hpp>
#include <dandeliontack/shard_claim.hpp>
#include <dandeliontack/shard_map.hpp>
#include <dandeliontack/shard_service.hpp>
#include <dandeliontack/store_client.hpp>
#include <dandeliontack/wake_signal.hpp>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace dandeliontack
{

/// A node's ownership of one shard, from its claim until it is lost: keeps the
/// engine's state in the store, carries out its effects on hosts, and answers
/// for it. Held by a shared pointer, as its coroutines keep it alive.
class shard_owner : public shard_service,
                    public std::enable_shared_from_this<shard_owner>
{
public:
    shard_owner(node_context& context, store_client& store, shard_id shard);

    /// Claims the shard with an epoch above `last`, loads its state and begins
    /// to serve. False where another node was first or the store is away.
    boost::asio::awaitable<bool> take_over(std::uint64_t last);

    /// Stops deciding, stores what there is, and gives the shard back.
    boost::asio::awaitable<void> hand_over();

    /// All live entries of the shard's hosts.
    void hosts_listed(std::vector<host_entry> entries);

    boost::asio::awaitable<shard_answer>
    submit(submission_record record) override;
    boost::asio::awaitable<shard_answer> cancel(std::uint64_t id) override;
    boost::asio::awaitable<shard_answer> state(std::uint64_t id) override;
    boost::asio::awaitable<shard_answer> pending(std::string route) override;
    boost::asio::awaitable<shard_answer> evacuate(std::string host) override;
    boost::asio::awaitable<shard_answer> host_ended(std::string host) override;
    boost::asio::awaitable<shard_answer> demands(std::string lent) override;

    bool is_lost() const;
    /// Gives the shard up without a word to the store, which can't be used.
    void give_up();
    /// Since when the store has not taken what is to be stored.
    std::optional<boot_time> failing_since() const;
    std::uint64_t epoch() const;
    shard_id shard() const;
    const pool_engine* engine() const;

private:
    /// Orders to one host, sent a few at a time in their order.
    struct host_queue
    {
        std::vector<pool_effect_body> orders;
        std::uint32_t sending = 0;
    };

    boost::asio::awaitable<bool> load();
    void restore(const std::vector<keyed_record>& records, moment now);
    boost::asio::awaitable<void> store_changes();
    boost::asio::awaitable<void> plan_regularly();
    boost::asio::awaitable<void> look_for_unmet_hosts();
    void hold_hosts();
    void run_part(std::string_view name, boost::asio::awaitable<void> part);
    boost::asio::awaitable<void> hold_host(std::string host);
    boost::asio::awaitable<void> send_orders(std::string host);
    boost::asio::awaitable<void> send_start(pool_effect::start order);
    boost::asio::awaitable<void> send_stop(pool_effect::stop order);
    boost::asio::awaitable<void> send_pace(pool_effect::pace order);
    boost::asio::awaitable<void> ask_advice(pool_effect::advise question);
    boost::asio::awaitable<shard_outcome> wait_stored(std::uint64_t batch);

    std::vector<keyed_record> encode_changes(const pool_changes& changes) const;
    void apply(const pool_event_body& event);
    void run_effects(pool_effects effects);
    void log_decision(const pool_effect::decided& decision);
    void log_submission(const submission_record& record);
    void poke();
    void lose(std::string_view reason);
    /// Whether orders may be given now: the right to the shard is fresh.
    bool has_right() const;
    /// For orders to hosts: that this owner still has its right when they are
    /// written.
    send_permission permission();
    bool may_speak() const;

    node_context& context_;
    store_client& store_;
    shard_id shard_;
    pool_terms terms_;
    shard_claim claim_;
    /// How long hosts take to answer orders.
    answer_times order_times_;
    std::unique_ptr<pool_engine> engine_;
    std::set<std::string> held_hosts_;
    std::map<std::string, host_queue> queues_;
    std::uint64_t stored_batch_ = 0;
    wake_signal stored_;
    wake_signal changed_;
    wake_signal planned_;
    bool poked_ = false;
    bool serving_ = false;
    bool appending_ = false;
    bool stopping_ = false;
    bool lost_ = false;
};

} // namespace dandeliontack
