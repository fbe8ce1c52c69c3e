#pragma once

#include <dandeliontack/call_limiter.hpp>
#include <dandeliontack/node_context.hpp>
#include <dandeliontack/pool_events.hpp>
#include <dandeliontack/wake_signal.hpp>

#include <boost/asio/awaitable.hpp>

#include <functional>

namespace dandeliontack
{

/// The node's only client of the advice service, which handles the calls of one
/// machine in turn. Shared by all shard owners of the node.
class advice_client
{
public:
    explicit advice_client(node_context& context);

    /// Asks which hosts may run a step, once the limiter allows a call. Makes
    /// no call if `is_wanted` returns false by then. An answer with `answered`
    /// false says nothing about the hosts.
    boost::asio::awaitable<pool_event::advice_answered>
    ask(pool_effect::advise question, std::function<bool()> is_wanted);

private:
    node_context& context_;
    call_limiter limiter_;
    wake_signal call_ended_;
};

} // namespace dandeliontack
