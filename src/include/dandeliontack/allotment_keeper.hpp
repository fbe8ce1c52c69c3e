#pragma once

#include <dandeliontack/account_allotment.hpp>
#include <dandeliontack/shard_map.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dandeliontack
{

/// Divides the limits of accounts among the owners of shards, for one holder of
/// the fleet duty. Over all shards, the sum of what owners may believe to be
/// allotted, of what they use, and of what predecessors of owners may still
/// use never grows beyond the limit. Load pattern: the pools reach their peaks
/// in turns, so what an account may use has to follow it from pool to pool.
class allotment_keeper
{
public:
    /// `epoch` is that of the duty.
    explicit allotment_keeper(std::uint64_t epoch);

    /// The accounts of the configuration's version; null for none.
    void set_accounts(
        std::shared_ptr<const account_table> accounts, std::uint64_t version);
    /// Whether any account is limited, so that owners have to be called.
    bool has_limits() const;

    /// The calls of the next round, one to each shard. What they raise counts
    /// as allotted from now on.
    std::map<shard_id, allotment_call>
    next_calls(const std::set<shard_id>& shards);
    /// Applies an owner's answer, unless it is older than the last call to the
    /// shard.
    void apply(shard_id shard, const allotment_report& report);

    /// What counts as used of the account's limit; nullopt while an owner is
    /// not heard of and may have the whole rest.
    std::optional<resources> reserved(const std::string& account) const;

private:
    struct part
    {
        /// As the owner has reported it last.
        resources confirmed;
        resources used;
        resources wanted;
        resources unit;
        /// The largest of what was sent since then, if anything was.
        std::optional<resources> sent;
        /// What was sent last.
        resources last;
        /// Of previous owners, until the takeover has settled.
        resources inherited;
        /// Recent use, which falls slowly.
        resources recent;
        /// Answers in a row by which its tasks were held back and none started.
        std::uint32_t waiting = 0;

        resources reserved() const;
    };
    struct shard_state
    {
        std::uint64_t epoch = 0;
        std::uint64_t sequence = 0;
        /// The configuration's version of the owner's last full answer.
        std::optional<std::uint64_t> known_version;
        /// Previous owners may have allotments that this holder never heard of.
        bool has_unknown = true;
        /// Whether the last call was answered.
        bool reachable = false;
        std::map<std::string, part> parts;
    };
    struct limit_state
    {
        resources limit;
        /// The first version in which these resources are limited.
        std::uint64_t since = 0;
    };

    bool knows(const shard_state& shard, const limit_state& limit) const;
    bool is_known(const limit_state& limit) const;
    /// The shards in the order in which they are served: those first that have
    /// waited longest.
    std::vector<shard_id> order_of(const std::string& account) const;
    /// The parts that are to be reached, by shard, of those that answer.
    std::map<shard_id, resources> targets(
        const std::string& account, const limit_state& limit,
        const std::vector<shard_id>& order);
    void plan(const std::string& account, const limit_state& limit);

    std::uint64_t epoch_;
    std::uint64_t version_ = 0;
    std::map<std::string, limit_state> limits_;
    std::map<shard_id, shard_state> shards_;
    /// Those of this round.
    std::map<shard_id, allotment_call> calls_;
};

} // namespace dandeliontack
