#pragma once

#include <dandeliontack/effect.hpp>

#include <boost/asio/awaitable.hpp>

#include <string>
#include <variant>

namespace dandeliontack
{

/// The platform took the command, or had taken it before.
struct command_done
{
};

/// The platform refused it, since it has taken a newer one.
struct command_fenced
{
};

/// Whether it was taken is unknown; it may be sent again.
struct command_unknown
{
    std::string reason;
};

using command_outcome =
    std::variant<command_done, command_fenced, command_unknown>;

/// What the platform does to hosts and jobs when told.
class platform_commands
{
public:
    virtual ~platform_commands() = default;
    virtual boost::asio::awaitable<command_outcome>
    send(const host_command& command) = 0;
    virtual boost::asio::awaitable<command_outcome>
    send(const job_command& command) = 0;
};

} // namespace dandeliontack
