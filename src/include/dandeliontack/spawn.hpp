#pragma once

#include <dandeliontack/node_context.hpp>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string_view>

namespace dandeliontack
{

/// Starts a detached coroutine. If it ends with an exception, the failure is
/// logged and counted under `name`, and `on_failure` is called; the process
/// continues. The context must outlive the coroutine.
void spawn(
    node_context& context, std::string_view name,
    boost::asio::awaitable<void> task, std::function<void()> on_failure = {});

/// Starts a detached coroutine that must run for the lifetime of the process.
/// After an exception it is created again with `make_task`, after a pause, so
/// that a single unexpected input does not disable a component of the node
/// permanently.
void spawn_with_restart(
    node_context& context, std::string_view name,
    std::function<boost::asio::awaitable<void>()> make_task);

} // namespace dandeliontack
