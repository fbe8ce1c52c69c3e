#pragma once

#include <dandeliontack/boot_clock.hpp>
#include <dandeliontack/event_log.hpp>
#include <dandeliontack/http_pool.hpp>
#include <dandeliontack/incarnation.hpp>
#include <dandeliontack/kept_memory.hpp>
#include <dandeliontack/metrics.hpp>
#include <dandeliontack/tack_node_settings.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <string>

namespace dandeliontack
{

/// State shared by the components of a node. Owned by the node, which outlives
/// the components.
struct node_context
{
    boost::asio::any_io_executor executor;
    const tack_node_settings& settings;
    event_log& log;
    metric_registry& metrics;
    /// Connections to hosts, to peers and to the platform.
    http_pool& connections;
    incarnation process_incarnation;
    /// The address at which other nodes reach this one; set once it listens.
    std::string peer_address;
    /// When the last announcement of this node that the store confirmed was
    /// sent. Other nodes take over its shards once its announcements stop; by
    /// then the node sends no more orders.
    boot_time last_announcement_sent;
    /// What the submissions of this node's shard owners keep.
    std::shared_ptr<kept_memory> kept = std::make_shared<kept_memory>();
};

} // namespace dandeliontack
