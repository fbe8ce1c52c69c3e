#pragma once

#include "child_process.hpp"
#include <dandeliontack/http.hpp>

#include <boost/json/object.hpp>

#include <chrono>
#include <filesystem>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace dandeliontack::harness
{

/// Sends one request on a connection of its own and returns the response.
/// Throws `std::runtime_error` where none comes.
http_response call(const endpoint& to, http_request request);
http_response get(const endpoint& to, const std::string& target);
http_response
post(const endpoint& to, const std::string& target, std::string body = {});
boost::json::object get_json(const endpoint& to, const std::string& target);

/// Sends raw bytes on a connection of its own and returns everything until
/// the other side closes it.
std::string send_raw(const endpoint& to, const std::string& bytes);

/// Polls a condition until it holds; false if it does not within the limit.
bool eventually(
    const std::function<bool()>& condition,
    std::chrono::milliseconds limit = std::chrono::seconds(20));

/// A folder that is removed with the object.
class temporary_folder
{
public:
    temporary_folder();
    ~temporary_folder();
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;

    const std::filesystem::path& path() const
    {
        return path_;
    }

    /// Writes a file into the folder and returns its path.
    std::string
    write(const std::string& name, const std::string& content) const;

private:
    std::filesystem::path path_;
};

/// A running control process.
struct control_process
{
    child_process process;
    endpoint admin;
    endpoint grpc;
};

/// A running entry process.
struct entry_process
{
    child_process process;
    endpoint callers;
    endpoint admin;
};

/// The whole system on loopback with stand-ins for what is around it. All
/// processes are killed when the object goes.
class cluster
{
public:
    /// Starts the platform's stand-in with these further flags.
    explicit cluster(const std::vector<std::string>& platform_flags = {});

    /// Starts a worker and lists it. The flags go to the stand-in.
    void add_worker(
        const std::string& name, const std::vector<std::string>& flags = {},
        const boost::json::object& listed_as = {});

    /// Starts a control process. `extra` is appended to its settings.
    control_process&
    add_control(const std::string& name, const std::string& extra = {});

    /// Starts an entry process linked to a control process.
    entry_process& add_entry(
        const std::string& name, const endpoint& control_grpc,
        const std::string& extra = {});

    /// Changes what the host list says of a worker.
    void list_worker(
        const std::string& name, const std::string& listed,
        const boost::json::object& listed_as = {});

    /// Sets a fault of the platform, such as `mode=slow&ms=200`.
    void set_fault(const std::string& query) const;

    /// Runs tackctl with the addresses of the log and a control process.
    program_result
    tackctl(const endpoint& admin, std::vector<std::string> arguments);

    /// Publishes a configuration text; throws unless it is accepted.
    void publish(const endpoint& admin, const std::string& configuration);

    std::map<std::string, control_process> controls;
    std::map<std::string, entry_process> entries;
    std::map<std::string, child_process> workers;
    std::map<std::string, endpoint> worker_addresses;
    endpoint platform_address;
    /// How often control processes fetch the host list.
    std::chrono::milliseconds host_list_interval =
        std::chrono::milliseconds(50);
    /// Who may read the administration pages of processes started from now.
    std::string api_section = "[api]\nopen = yes\n";
    /// The platform's second address, which can be cut off alone.
    endpoint second_address;
    /// Where control processes reach the platform.
    endpoint control_platform;
    temporary_folder folder;

private:
    child_process platform_;
    unsigned published_ = 0;
};

/// Waits until an entry process routes a service to so many upstreams.
bool routes_to(
    const entry_process& entry, const std::string& service,
    std::size_t upstreams);

} // namespace dandeliontack::harness
