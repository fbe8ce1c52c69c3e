#pragma once

#include <dandeliontack/pool_engine.hpp>
#include <dandeliontack/store_calls.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace dandeliontack
{

/// The records that store a batch of an engine's changes, in an order in which
/// any number of the first of them leaves a valid state. Each takes up at most
/// `record_bytes`, key included.
std::vector<keyed_record> records_of(
    const pool_engine& engine, const pool_changes& changes,
    std::size_t record_bytes);

/// What is left in a shard's partition that its engine does not need.
struct restored_shard
{
    /// Keys of records to delete: of submissions that have finished, and of
    /// occurrences that are done.
    std::vector<std::string> orphans;
    /// Records that could not be read.
    std::size_t unreadable = 0;
};

/// Restores an engine from the newest records of its shard, in any order.
restored_shard restore_engine(
    pool_engine& engine, const std::vector<keyed_record>& records, moment now);

/// The submissions and hosts that records with these keys are about.
pool_event::records_refused subjects_of(const std::vector<std::string>& keys);

} // namespace dandeliontack
