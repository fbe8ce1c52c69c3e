#pragma once

#include <dandeliontack/client_account.hpp>
#include <dandeliontack/submission.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dandeliontack
{

/// A queue that accepts submissions of callers, selected by host and path.
struct queue_entry
{
    std::string host;
    std::string path_prefix;
    std::chrono::milliseconds timeout{0};
    /// Callers need no key of an account.
    bool is_public = false;
    queue_terms terms;
};

/// A pool of hosts in the operator's configuration.
struct pool_entry
{
    std::string name;
    /// The pool's machines are switched off and cost nothing.
    bool standby = false;
    /// The pool's hosts reject tasks that exceed their capacity.
    bool guards_capacity = true;
};

/// One version of the operator's configuration.
struct queue_table
{
    std::uint64_t version = 0;
    std::vector<queue_entry> queues;
    std::vector<pool_entry> pools;
    /// Null in a deployment without client accounts.
    std::shared_ptr<const account_table> accounts;
    /// Limits for callers' requests and their connections.
    std::uint64_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = 256 * 1024;
    std::chrono::milliseconds header_timeout{3'000};
    std::chrono::milliseconds idle_timeout{15'000};
};

/// Identifies a queue by what callers address, which stays the same when a
/// version of the configuration renames the queue or sends it to another pool.
std::uint64_t queue_id_of(std::string_view host, std::string_view path_prefix);

/// Returns the queue with a matching host and the longest matching path prefix,
/// or null if there is none. A port in `host` is ignored.
const queue_entry* find_queue(
    const queue_table& table, std::string_view host, std::string_view path);

} // namespace dandeliontack
