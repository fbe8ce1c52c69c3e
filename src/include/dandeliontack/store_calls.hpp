#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dandeliontack
{

/// A partition of a topic in the platform's store.
struct store_place
{
    std::string topic;
    std::uint32_t partition = 0;

    auto operator<=>(const store_place&) const = default;
};

/// One record of a topic that keeps the newest of each key. An empty value
/// drops the key.
struct keyed_record
{
    std::string key;
    std::string value;
    std::uint64_t offset = 0;

    bool operator==(const keyed_record&) const = default;
};

/// The identity under which appends are fenced: one with a lower epoch than
/// the partition has seen is refused.
struct append_writer
{
    std::string producer;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
};

struct append_call
{
    store_place place;
    std::vector<keyed_record> records;
    std::optional<append_writer> writer;
    /// Refused unless the partition ends here.
    std::optional<std::uint64_t> at;
};

/// What became of an append.
enum class append_outcome
{
    stored,
    /// A higher epoch has been seen.
    fenced,
    /// The sequence number does not follow the last one of this epoch.
    wrong_sequence,
    /// The partition does not end at the offset asked for.
    not_at_end,
    /// Nothing was done; the store is busy, full or turns this node away.
    refused,
    /// It may have been done, or may be done later.
    unknown
};

struct append_answer
{
    append_outcome outcome = append_outcome::unknown;
    std::uint64_t offset = 0;
    std::uint64_t end = 0;
    std::string reason;
};

/// Records from an offset on.
struct read_answer
{
    bool answered = false;
    /// Older records were deleted: read the newest of each key instead.
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
