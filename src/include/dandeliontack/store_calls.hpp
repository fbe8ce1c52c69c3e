#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dandeliontack
{

/// A partition of a topic in the platform's store.
struct topic_partition
{
    std::string topic;
    std::uint32_t partition = 0;

    auto operator<=>(const topic_partition&) const = default;
};

/// A record of a compacted topic, which keeps the newest record of each key. An
/// empty value deletes the key.
struct keyed_record
{
    std::string key;
    std::string value;
    std::uint64_t offset = 0;

    bool operator==(const keyed_record&) const = default;
};

/// The producer identity of an append. The store refuses an append whose epoch
/// is lower than the highest that the partition has seen, and stores an append
/// only once if its sequence number is repeated.
struct append_writer
{
    std::string producer;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
};

struct append_call
{
    topic_partition place;
    std::vector<keyed_record> records;
    std::optional<append_writer> writer;
    /// If set, the store refuses the append unless the partition ends at this
    /// offset.
    std::optional<std::uint64_t> expected_end;
};

/// The outcome of an append.
enum class append_outcome
{
    stored,
    /// The partition has seen a higher epoch.
    fenced,
    /// The sequence number does not follow the last one of this epoch.
    wrong_sequence,
    /// The partition does not end at the expected offset.
    unexpected_end,
    /// Not stored: the store is busy or full.
    refused,
    /// Not stored, nor ever: the store does not accept these records.
    invalid,
    /// The records may have been stored, or may be stored later.
    unknown
};

struct append_answer
{
    append_outcome outcome = append_outcome::unknown;
    std::uint64_t offset = 0;
    std::uint64_t end = 0;
    std::string reason;
};

/// How much a read of a log returns, and when.
struct read_terms
{
    /// How long the store waits for a record (long poll).
    std::chrono::milliseconds wait{0};
    /// The most that it returns, in KB; 0 for the store's own limit.
    std::uint32_t most_kb = 0;
};

/// The records from an offset on.
struct read_answer
{
    bool answered = false;
    /// The records at the offset were deleted: read the newest record of each
    /// key instead.
    bool trimmed = false;
    std::uint64_t end = 0;
    std::vector<keyed_record> records;
    std::string reason;
};

/// One page of the newest record of each key.
struct newest_page
{
    bool answered = false;
    std::vector<keyed_record> records;
    bool has_more = false;
    std::uint64_t end = 0;
    std::string reason;
};

} // namespace dandeliontack
