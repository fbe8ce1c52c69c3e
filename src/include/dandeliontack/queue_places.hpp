#pragma once

#include <dandeliontack/shard_map.hpp>
#include <dandeliontack/stored_records.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace dandeliontack
{

/// A shard that may hold submissions of a queue.
struct queue_place
{
    shard_id shard = 0;
    /// Nothing if no owner is known.
    std::optional<owner_record> owner;

    bool operator==(const queue_place&) const = default;
};

/// All shards that may hold submissions of a queue, in the view of the owner of
/// one of them.
struct queue_places
{
    /// The newest version of the configuration that the owner has heard of.
    std::uint64_t version = 0;
    std::vector<queue_place> places;

    bool operator==(const queue_places&) const = default;
};

std::string encode(const queue_places& places);
/// Returns `std::nullopt` if the bytes are not valid.
std::optional<queue_places> decode_queue_places(std::string_view bytes);

/// The places of a queue that `registry` knows.
queue_places places_in(
    const shard_map& registry, std::uint64_t queue, std::uint64_t version);

/// The shards that don't have a submission. None of them accepts it any more
/// under `version` of the configuration or an earlier one.
struct asked_shards
{
    std::uint64_t version = 0;
    std::set<shard_id> shards;

    bool operator==(const asked_shards&) const = default;
};

/// The version and the shards, as decimals with a space between two.
std::string encode(const asked_shards& asked);
/// Returns `std::nullopt` if the text is not valid.
std::optional<asked_shards> decode_asked_shards(std::string_view text);

/// The search for a submission in all shards that may hold it. A node may know
/// less of the registry than the owners, which can reach the store; so the
/// search goes on with the places that the owners name, until all are asked.
class place_search
{
public:
    /// `version` is that of the configuration in force here.
    explicit place_search(std::uint64_t version);

    /// Adds a shard that may hold the submission.
    void add(shard_id shard);
    /// An owner has heard of this version of the configuration.
    void hear_of(std::uint64_t version);
    /// Goes on under the newest version that was heard of. If that is a newer
    /// one, all shards have to be asked again.
    void raise_version();
    /// The shards that have not been asked yet, in order.
    std::vector<shard_id> unasked() const;
    /// Notes that these shards don't have the submission.
    void mark_asked(const std::vector<shard_id>& shards);
    /// What was asked so far.
    const asked_shards& asked() const;

private:
    std::set<shard_id> known_;
    asked_shards asked_;
    std::uint64_t heard_ = 0;
};

} // namespace dandeliontack
