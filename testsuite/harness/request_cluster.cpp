#include "request_cluster.hpp"

#include <boost/beast/http.hpp>

#include <csignal>
#include <stdexcept>

namespace dandeliontack::harness
{

request_cluster::request_cluster(unsigned workers, std::string entry_settings)
    : workers_(workers), entry_settings_(std::move(entry_settings))
{
    std::string hosts;
    for (unsigned i = 0; i < workers; ++i)
    {
        const auto name = "w" + std::to_string(i);
        system.add_worker(
            name, {"--service_time=2ms",
                   "--history_file=" + history_of(name).string()});
        hosts += (i == 0 ? "" : ", ") + name;
    }
    const auto& control = system.add_control("control-1");
    control_ = control.grpc;
    system.publish(
        control.admin,
        "[pool a]\nhosts = " + hosts + "\n[service citations]\npool = a\n");
}

std::filesystem::path
request_cluster::history_of(const std::string& worker) const
{
    return system.folder.path() / (worker + ".history");
}

void request_cluster::start_entry(const std::string& name)
{
    start_entry(name, entry_settings_);
}

void request_cluster::start_entry(
    const std::string& name, const std::string& settings)
{
    const auto& entry = system.add_entry(name, control_, settings);
    if (!routes_to(entry, "citations", workers_))
        throw std::runtime_error(name + " does not route");
    entries.add(entry.callers);
}

void request_cluster::kill_entry(const std::string& name)
{
    auto& entry = system.entries.at(name);
    entry.process.send_signal(SIGKILL);
    entry.process.wait_exit(std::chrono::seconds(20));
    entries.remove(entry.callers);
}

std::optional<int> request_cluster::stop_entry(const std::string& name)
{
    auto& entry = system.entries.at(name);
    entry.process.send_signal(SIGTERM);
    const bool unready = eventually([&] {
        return get(entry.admin, "/readyz").result() !=
               boost::beast::http::status::ok;
    });
    if (!unready)
        throw std::runtime_error(name + " stays ready");
    entries.remove(entry.callers);
    return entry.process.wait_exit(std::chrono::seconds(60));
}

void request_cluster::set_worker(
    const std::string& name, const std::string& fault)
{
    post(system.worker_addresses.at(name), "/fault?" + fault);
}

run_counts request_cluster::runs()
{
    run_counts out;
    for (unsigned i = 0; i < workers_; ++i)
        read_runs(history_of("w" + std::to_string(i)), out);
    return out;
}

} // namespace dandeliontack::harness
