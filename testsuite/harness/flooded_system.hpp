#pragma once

#include "cluster.hpp"
#include "process_usage.hpp"

#include <optional>
#include <string>

namespace dandeliontack::harness
{

/// A control process and an entry process with little memory and few
/// descriptors, and one service behind them.
class flooded_system
{
public:
    /// Starts the system and waits until it serves; throws
    /// `std::runtime_error` if it doesn't.
    flooded_system();

    /// Publishes so many services, so that what is told of them all is large.
    void publish_services(unsigned count);

    /// `callers` or `admin` of the entry process, `grpc` or `admin` of the
    /// control process.
    endpoint entry_address(const std::string& name);
    endpoint control_address(const std::string& name);

    small_machine& entry()
    {
        return *entry_;
    }
    small_machine& control()
    {
        return *control_;
    }

    /// Whether the entry process comes to answer one ordinary request.
    bool entry_serves();
    /// Whether the control process comes to answer a request on its pages, and
    /// tells an entry process that starts now what to route by.
    bool control_serves();

private:
    cluster system_;
    std::optional<small_machine> entry_;
    std::optional<small_machine> control_;
    unsigned started_ = 0;
};

} // namespace dandeliontack::harness
