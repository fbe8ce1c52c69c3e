#pragma once

#include <dandeliontack/advice_client.hpp>
#include <dandeliontack/answer_times.hpp>
#include <dandeliontack/departure_watch.hpp>
#include <dandeliontack/order_queue.hpp>
#include <dandeliontack/pool_engine.hpp>
#include <dandeliontack/queue_admission.hpp>
#include <dandeliontack/registry_view.hpp>
#include <dandeliontack/shard_claim.hpp>
#include <dandeliontack/shard_map.hpp>
#include <dandeliontack/shard_service.hpp>
#include <dandeliontack/store_client.hpp>
#include <dandeliontack/wake_signal.hpp>
#include <dandeliontack/withdrawn_submissions.hpp>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace dandeliontack
{

/// How long events are collected before a planning pass, with so many
/// submissions in the shard.
std::chrono::milliseconds planning_pause(std::size_t submissions);

/// A node's ownership of one shard, from the claim until it is lost. Persists
/// the scheduling engine's state in the store, sends the engine's orders to
/// hosts, and answers requests for the shard. Must be held by a shared pointer,
/// since its coroutines keep it alive.
class shard_owner : public shard_service,
                    public std::enable_shared_from_this<shard_owner>
{
public:
    shard_owner(
        node_context& context, store_client& store, advice_client& advice,
        registry_view registry, shard_id shard);

    /// Claims the shard with epoch `last` + 1, loads its state and starts
    /// serving. Returns false if another node claimed it first or the store is
    /// unavailable.
    boost::asio::awaitable<bool> take_over(std::uint64_t last);

    /// Stops scheduling and stores pending changes; the shard is lost then.
    boost::asio::awaitable<void> hand_over();
    /// Stores the release of a lost shard in the registry.
    boost::asio::awaitable<void> announce_release();
    /// The registry's record of this owner; released once the shard is lost.
    owner_record record() const;

    /// Applies a newer configuration, in force here since `since`: lists the
    /// queues that it sends to this shard, closes those that it sends
    /// elsewhere, and gives the accounts to the engine. Called before
    /// `take_over` too.
    void set_queues(const queue_table& table, boot_time since);
    /// The registry has been read to its end.
    void notify_registry_read();

    /// Replaces the list of the shard's hosts that are alive.
    void set_hosts(std::vector<host_entry> entries);

    boost::asio::awaitable<shard_answer> submit(
        std::shared_ptr<const submission_record> record,
        asked_shards asked) override;
    boost::asio::awaitable<shard_answer>
    find(std::uint64_t id, std::string account, queue_terms terms) override;
    boost::asio::awaitable<shard_answer> cancel(std::uint64_t id) override;
    boost::asio::awaitable<shard_answer> withdraw(
        std::uint64_t id, std::string account, std::uint64_t queue) override;
    boost::asio::awaitable<shard_answer>
    state(std::uint64_t id, std::uint64_t queue) override;
    boost::asio::awaitable<shard_answer>
    pending(std::string route, std::uint64_t queue) override;
    boost::asio::awaitable<shard_answer> evacuate(std::string host) override;
    boost::asio::awaitable<shard_answer>
    host_ended(host_departure departure) override;
    boost::asio::awaitable<shard_answer> demands(std::string lent) override;

    /// Whether any submission runs or waits in the pool.
    bool has_submissions_of(const std::string& pool) const;
    bool is_lost() const;
    /// Gives up the shard without releasing it in the store, which is
    /// unreachable.
    void give_up();
    /// Since when appends to the store have been failing; nullopt if they
    /// succeed.
    std::optional<boot_time> failing_since() const;
    std::uint64_t epoch() const;
    shard_id shard() const;
    const pool_engine* engine() const;

private:
    /// Orders to one host, sent in sequence with a limited number in flight.
    struct host_queue
    {
        order_queue orders;
        std::uint32_t sending = 0;
    };

    boost::asio::awaitable<bool> load();
    void restore(const std::vector<keyed_record>& records, moment now);
    boost::asio::awaitable<void> store_changes();
    /// Stores the shard's list of queues in the registry whenever it has grown.
    boost::asio::awaitable<void> list_queues();
    /// Waits until it is certain whether this shard may accept a submission
    /// that it does not know. Without an answer it may.
    boost::asio::awaitable<std::optional<shard_answer>>
    admit(const submission_record& record, asked_shards asked);
    /// Waits until the registry that was read is not older than this call;
    /// false if that takes too long.
    boost::asio::awaitable<bool> wait_for_registry();
    /// The answer to a call for a submission that is not here.
    boost::asio::awaitable<shard_answer>
    answer_not_found(std::uint64_t id, std::uint64_t queue);
    std::string encode_places(std::uint64_t queue) const;
    /// Whether appends have been failing for so long that nothing new is
    /// accepted.
    bool has_failing_store() const;
    boost::asio::awaitable<void> run_planning();
    boost::asio::awaitable<void> detect_departed_hosts();
    void apply_departures(
        departure_watch& departures, boot_time known_before, boot_time seen);
    /// Starts polling each host that is not polled yet.
    void poll_hosts();
    /// Starts a coroutine of the owner; the shard is given up if it fails.
    void start_coroutine(
        std::string_view name, boost::asio::awaitable<void> coroutine);
    boost::asio::awaitable<void> poll_host(std::string host);
    /// Waits, for a limited time, until the ends that the host lists are
    /// stored.
    boost::asio::awaitable<void> wait_for_ends(std::string host);
    /// Sends a request that holds for one incarnation of a host only, and only
    /// to this incarnation. `question` is a hold call without effect.
    boost::asio::awaitable<exchange_result> exchange_with_incarnation(
        const host_entry& host, http_request request, http_request question,
        std::chrono::milliseconds timeout, bool question_suffices);
    boost::asio::awaitable<void> send_orders(std::string host);
    boost::asio::awaitable<void> send_start(pool_effect::start order);
    boost::asio::awaitable<void> send_stop(pool_effect::stop order);
    boost::asio::awaitable<void> send_pace(pool_effect::pace order);
    boost::asio::awaitable<void> request_advice(pool_effect::advise question);
    /// Waits until the batch is stored, the shard is lost or a time limit is
    /// reached.
    boost::asio::awaitable<shard_outcome>
    wait_until_stored(std::uint64_t batch);

    std::vector<keyed_record> encode_changes(const pool_changes& changes);
    /// Whether anything has to be stored.
    bool has_changes() const;
    /// The batch that stores all that is closed or withdrawn by now.
    std::uint64_t refusals_batch();
    /// Whether the submission was withdrawn; logs that it came.
    bool is_withdrawn(const submission_record& record);
    /// Waits until the registry lists the queue for this shard; false if that
    /// takes too long.
    boost::asio::awaitable<bool> wait_until_listed(std::uint64_t queue);
    void drop_refused_records();
    /// Sets the metrics of accounts that are limited.
    void report_accounts();
    bool has_memory_for(const submission_record& record) const;
    void apply(const pool_event_body& event);
    void run_effects(pool_effects effects);
    void log_decision(const pool_effect::decision& decision);
    void log_finished(const pool_effect::finished& end);
    void log_submission(const submission_record& record);
    void log_refusal(
        const submission_record& record, const submission_refusal& refusal);
    void request_planning();
    void mark_lost(std::string_view reason);
    /// Whether orders may be sent now: the shard is not lost and its claim was
    /// confirmed recently enough.
    bool has_valid_claim() const;
    /// Checked when an order is written to the connection, so that none is sent
    /// after the claim has become invalid.
    send_permission order_permission();
    /// Whether requests for the shard may be answered.
    bool can_answer() const;

    node_context& context_;
    store_client& store_;
    advice_client& advice_;
    registry_view registry_;
    shard_id shard_;
    pool_terms terms_;
    shard_claim claim_;
    /// Response times of hosts to orders, from which time-outs are derived.
    answer_times order_times_;
    std::unique_ptr<pool_engine> engine_;
    queue_admission admission_;
    withdrawn_submissions withdrawn_;
    /// Null in a deployment without client accounts.
    std::shared_ptr<const account_table> accounts_;
    std::uint64_t accounts_version_ = 0;
    /// Keys of stored records that are to be deleted with the next batch.
    std::vector<std::string> orphans_;
    /// Submissions that have not begun, by route, and when they were counted.
    std::map<std::string, std::size_t> pending_;
    boot_time pending_counted_;
    std::set<std::string> polled_hosts_;
    std::map<std::string, host_queue> queues_;
    /// The last batch of engine changes that the store has accepted.
    std::uint64_t stored_batch_ = 0;
    /// The batch with what was closed or withdrawn last.
    std::uint64_t refusals_batch_ = 0;
    wake_signal stored_signal_;
    wake_signal change_signal_;
    wake_signal planning_signal_;
    /// A queue has to be listed, or was, or the registry has been read.
    wake_signal queues_signal_;
    bool planning_requested_ = false;
    bool serving_ = false;
    bool appending_ = false;
    bool stopping_ = false;
    bool lost_ = false;
};

} // namespace dandeliontack
