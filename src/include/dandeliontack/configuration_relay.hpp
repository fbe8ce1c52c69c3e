#pragma once

#include <dandeliontack/boot_clock.hpp>
#include <dandeliontack/stored_records.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dandeliontack
{

/// When a node asks others for the configuration, and whom.
struct relay_terms
{
    /// The configuration counts as possibly outdated once the operator's topic
    /// has not been read to its end for this long.
    std::chrono::milliseconds stale_after{1200};
    /// Interval between two rounds of questions.
    std::chrono::milliseconds interval{400};
    /// Nodes that are asked in one round.
    std::size_t peers = 3;
    /// Within this time a confirmed configuration is in force on every node.
    std::chrono::milliseconds bound{3000};
};

/// Derives the terms from the time within which a configuration must be in
/// force on every node.
relay_terms relay_terms_of(std::chrono::milliseconds config_bound);

/// The version of another node's configuration.
struct peer_version
{
    node_announcement node;
    std::uint64_t version = 0;
    /// No newer version had been published then, on this node's clock.
    boot_time as_of;
};

/// The newest configuration that a node has read, for nodes that the store
/// turns away, or that can't read it in time, while others can. It is sent
/// deflated, which makes it some ten times smaller than in the store.
class configuration_relay
{
public:
    /// `started` is when this process began.
    configuration_relay(relay_terms terms, boot_time started);

    const relay_terms& terms() const;

    /// Keeps a configuration in the operator's encoding, if it is newer.
    void keep(std::uint64_t version, std::string encoded);
    /// Notes that the operator's topic was read to what was its end at `as_of`.
    void mark_read(boot_time as_of);
    /// Notes what another node has, if that is not newer than what is kept.
    void mark_confirmed(const peer_version& other);
    /// For how long changes may have been missed: the time since this or
    /// another node read the operator's topic to its end and had no newer
    /// version.
    std::chrono::milliseconds age(boot_time now) const;
    /// Whether a confirmed configuration may have been missed that should be in
    /// force by now.
    bool is_overdue(boot_time now) const;
    /// Whether other nodes should be asked now: this one has not read the
    /// operator's topic to its end for some time.
    bool is_stale(boot_time now) const;
    /// The nodes to ask in the next round: other ones in each round, until all
    /// have been asked.
    std::vector<node_announcement>
    next_peers(std::vector<node_announcement> others);

    /// The answer of the node to fetch a configuration from: one with the
    /// newest version, if that is newer than the kept one. While none is kept,
    /// a version counts only if it was the newest after this process began: the
    /// process before it may have had a newer one.
    std::optional<peer_version> choose(std::vector<peer_version> answers) const;

    /// The kept configuration, deflated, if it is newer than `version`.
    const std::string* deflated_newer_than(std::uint64_t version);
    /// The version that is kept; 0 if there is none.
    std::uint64_t version() const;

private:
    relay_terms terms_;
    std::uint64_t version_ = 0;
    /// As the operator has encoded it, until it is first asked for.
    std::string encoded_;
    std::string deflated_;
    boot_time started_;
    boot_time last_read_;
    boot_time confirmed_;
    std::size_t next_ = 0;
};

} // namespace dandeliontack
