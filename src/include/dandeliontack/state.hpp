#pragma once

#include <dandeliontack/event.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace dandeliontack
{

/// A value in force with its revision and the record that brought it.
template <class Config>
struct in_force
{
    Config config;
    /// Counts the accepted changes of this value, from 1.
    std::uint64_t revision = 0;
    /// The operator record that brought it.
    std::uint64_t offset = 0;

    bool operator==(const in_force&) const = default;
};

/// A record that was not accepted, kept for reports.
struct rejection
{
    log_stream stream = log_stream::operators;
    std::uint64_t offset = 0;
    incarnation writer;
    findings found;

    bool operator==(const rejection&) const = default;
};

/// How far the log is applied, and which writers were seen.
struct order_state
{
    /// The next offset of the system's stream.
    std::uint64_t system_end = 0;
    /// The next offset of the operators' stream.
    std::uint64_t operators_end = 0;

    /// The last sequence of a writer and the count of records when it came.
    struct writer_mark
    {
        std::uint64_t sequence = 0;
        std::uint64_t seen = 0;

        bool operator==(const writer_mark&) const = default;
    };
    std::map<incarnation, writer_mark> writers;
    /// Counts all records; orders the writers by age.
    std::uint64_t records = 0;
    /// The newest rejections, oldest first.
    std::deque<rejection> rejections;

    bool operator==(const order_state&) const = default;
};

struct config_state
{
    std::map<std::string, in_force<pool_config>> pools;
    std::map<service_key, in_force<service_config>> services;

    bool operator==(const config_state&) const = default;
};

/// A control process as the log knows it.
struct member
{
    std::string name;
    std::string data_centre;
    endpoint peer_address;

    bool operator==(const member&) const = default;
};

struct membership_state
{
    std::map<incarnation, member> nodes;

    bool operator==(const membership_state&) const = default;
};

/// A host as the log knows it.
struct host_record
{
    listing listed = listing::live;
    std::string data_centre;
    std::string rack;
    std::uint64_t processors = 0;
    std::uint64_t memory_mb = 0;
    std::uint64_t accelerators = 0;

    bool operator==(const host_record&) const = default;
};

struct fleet_state
{
    std::map<std::string, host_record> hosts;

    bool operator==(const fleet_state&) const = default;
};

struct job_record
{
    std::string team;
    std::string pool;

    bool operator==(const job_record&) const = default;
};

struct job_state
{
    std::map<std::string, job_record> jobs;

    bool operator==(const job_state&) const = default;
};

/// All that the log's records add up to. Equal on every node that applied
/// the same records.
struct state
{
    order_state order;
    config_state config;
    membership_state membership;
    fleet_state fleet;
    job_state jobs;

    bool operator==(const state&) const = default;
};

/// A 64-bit hash of the whole state, alike on every machine.
std::uint64_t hash_of(const state& s);

} // namespace dandeliontack
