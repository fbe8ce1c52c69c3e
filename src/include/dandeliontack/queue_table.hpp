#pragma once

#include <dandeliontack/submission.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dandeliontack
{

/// A queue that callers hand submissions to.
struct queue_entry
{
    std::string host;
    std::string path_prefix;
    std::chrono::milliseconds timeout{0};
    queue_terms terms;
};

/// A pool of hosts, as the operator's configuration has it.
struct pool_entry
{
    std::string name;
    /// Its hosts are switched off and cost nothing.
    bool standby = false;
    /// Its hosts refuse what does not fit.
    bool guards_capacity = true;
};

/// One version of the operator's configuration.
struct queue_table
{
    std::uint64_t version = 0;
    std::vector<queue_entry> queues;
    std::vector<pool_entry> pools;
    std::uint64_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = 256 * 1024;
    std::chrono::milliseconds idle{15'000};
};

/// The queue whose host matches and whose prefix is the longest that the path
/// begins with; null where there is none. A port in `host` is ignored.
const queue_entry* find_queue(
    const queue_table& table, std::string_view host, std::string_view path);

} // namespace dandeliontack
