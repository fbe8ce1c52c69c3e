#pragma once

#include <dandeliontack/boot_clock.hpp>
#include <dandeliontack/event_log.hpp>
#include <dandeliontack/http_pool.hpp>
#include <dandeliontack/incarnation.hpp>
#include <dandeliontack/metrics.hpp>
#include <dandeliontack/tack_node_settings.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <string>

namespace dandeliontack
{

/// What all parts of a node share; owned by the node, which outlives them.
struct node_context
{
    boost::asio::any_io_executor executor;
    const tack_node_settings& settings;
    event_log& log;
    metric_registry& metrics;
    /// Connections to hosts, to peers and to the platform.
    http_pool& connections;
    incarnation life;
    /// Where other nodes reach this one; set once it listens.
    std::string peer_address;
    /// When the last announcement of this node that was stored had been sent.
    /// Others take over from it once its announcements stay out; it gives no
    /// order by then.
    boot_time announced;
};

} // namespace dandeliontack
