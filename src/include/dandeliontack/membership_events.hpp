#pragma once

#include <dandeliontack/endpoint.hpp>
#include <dandeliontack/incarnation.hpp>

#include <cstdint>
#include <string>
#include <variant>

namespace dandeliontack
{

/// A control process started. Its incarnation is that of the record's writer.
struct node_joined
{
    std::string name;
    std::string data_centre;
    /// Where its peers reach it.
    endpoint peer_address;
};

/// A control process stopped in an orderly way, or the leader found it gone.
struct node_left
{
    incarnation node;
    /// The member's `heard_at` that the writer based this on. A heartbeat in
    /// between voids the record, unless the member itself wrote it.
    std::uint64_t heard_at = 0;
};

/// The writer lives, and has applied the log this far.
struct node_heartbeat
{
    std::uint64_t system_end = 0;
    std::uint64_t operators_end = 0;
};

/// The writer takes the leadership, since the leader's heartbeats stay out.
struct term_claimed
{
    /// The new term; holds only behind the term just below it.
    std::uint64_t term = 0;
    /// The leader's `heard_at` that the writer based this on. A heartbeat of
    /// the leader in between voids the claim.
    std::uint64_t leader_heard_at = 0;
};

using membership_event =
    std::variant<node_joined, node_left, node_heartbeat, term_claimed>;

} // namespace dandeliontack
