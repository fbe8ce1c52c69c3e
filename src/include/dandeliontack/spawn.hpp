#pragma once

#include <dandeliontack/node_context.hpp>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string_view>

namespace dandeliontack
{

/// Runs a coroutine by itself. One that ends by an exception is logged and
/// counted under its name, and `after_failure` is called; the process goes on.
/// The context must outlive it.
void spawn(
    node_context& context, std::string_view name,
    boost::asio::awaitable<void> task,
    std::function<void()> after_failure = {});

/// Runs a coroutine that is to go on for as long as the process: after a
/// failure it is made anew, with a pause, so that one unexpected input does not
/// end a part of the node for good.
void spawn_for_good(
    node_context& context, std::string_view name,
    std::function<boost::asio::awaitable<void>()> make);

} // namespace dandeliontack
