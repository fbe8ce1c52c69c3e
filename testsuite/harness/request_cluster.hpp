#pragma once

#include "cluster.hpp"
#include "load.hpp"

#include <string>
#include <vector>

namespace dandeliontack::harness
{

/// A cluster with one service, `citations`, whose workers write their
/// histories to files, and with entry processes behind a balancer.
class request_cluster
{
public:
    /// Starts `workers` workers named `w0` and so on. `entry_settings` is
    /// appended to each entry process's settings.
    request_cluster(unsigned workers, std::string entry_settings);

    /// Starts an entry process, waits until it routes and has it balanced.
    void start_entry(const std::string& name);
    /// The same with settings of its own.
    void start_entry(const std::string& name, const std::string& settings);

    /// Kills an entry process without warning.
    void kill_entry(const std::string& name);

    /// Asks an entry process to stop, takes it out of the balancer once it
    /// says that it isn't ready, and returns its exit code.
    std::optional<int> stop_entry(const std::string& name);

    void set_worker(const std::string& name, const std::string& fault);

    /// Everything that the workers have started.
    run_counts runs();

    cluster system;
    balancer entries;

private:
    std::filesystem::path history_of(const std::string& worker) const;

    unsigned workers_;
    std::string entry_settings_;
    endpoint control_;
};

} // namespace dandeliontack::harness
