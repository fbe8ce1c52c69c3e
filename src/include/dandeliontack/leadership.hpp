#pragma once

#include <dandeliontack/event.hpp>
#include <dandeliontack/state.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace dandeliontack
{

/// How leaders are kept and replaced. All nodes need the same values, and
/// `takeover` must be longer than `lease`.
struct lease_settings
{
    /// How often each node writes a heartbeat.
    std::chrono::milliseconds heartbeat = std::chrono::seconds(1);
    /// How long a leader may decide after it wrote a heartbeat that was
    /// applied.
    std::chrono::milliseconds lease = std::chrono::seconds(3);
    /// After how long without the leader's heartbeat others claim its place.
    std::chrono::milliseconds takeover = std::chrono::seconds(4);
    /// How much longer each member waits than the one before it.
    std::chrono::milliseconds takeover_step = std::chrono::milliseconds(250);
    /// After how long without a heartbeat the leader removes a member.
    std::chrono::milliseconds member_timeout = std::chrono::seconds(15);
};

/// One node's part in the membership: writes its heartbeats, claims the
/// leadership when the leader's heartbeats stay out, and tells whether the
/// node may decide now. Does no I/O and reads no clock: all times are given
/// and come from one monotonic clock of the node.
class leadership
{
public:
    /// A time of the node's monotonic clock since a fixed point.
    using instant = std::chrono::milliseconds;

    leadership(const incarnation& self, const lease_settings& settings);

    /// Takes note of an event that was applied and led to `s`.
    void observe(const event& e, const state& s, instant now);

    /// Takes note of a state that came whole, from a snapshot. All signs of
    /// life in it count as heard now.
    void loaded(const state& s, instant now);

    /// The records to propose now. Call `proposed` for each.
    std::vector<membership_event> due(const state& s, instant now);

    /// Tells the sequence under which a record of this node was queued, and
    /// when. The lease counts from here, since the log may take the record at
    /// any time after.
    void
    proposed(const membership_event& e, std::uint64_t sequence, instant when);

    /// Whether the node is the leader and its lease still runs.
    bool holds(const state& s, instant now) const;

    /// Where the node stands among the members, from 0; behind them all where
    /// it is not one of them.
    std::size_t rank(const state& s) const;

private:
    bool may_claim(const state& s, instant now) const;
    void add_expelled(
        const state& s, instant now, std::vector<membership_event>& out);
    void note_own(const event& e, const state& s);
    void note_heard(const event& e, const state& s, instant now);

    struct heard
    {
        std::uint64_t at = 0;
        instant when{};
    };

    incarnation self_;
    lease_settings settings_;
    /// When this node's records that are not applied yet were queued.
    std::map<std::uint64_t, instant> pending_;
    std::optional<instant> last_heartbeat_;
    bool heartbeat_pending_ = false;
    bool claim_pending_ = false;
    /// The last signs of life of the members, by this node's clock.
    std::map<incarnation, heard> heard_;
    /// Members whose removal was proposed and is not applied yet.
    std::set<incarnation> expelled_;
    heard leader_heard_;
    std::optional<instant> lease_end_;
};

} // namespace dandeliontack
