#include "flooded_node.hpp"

#include <boost/beast/http.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <thread>

namespace dandeliontack::harness
{

namespace http = boost::beast::http;

namespace
{

constexpr std::uint64_t bytes_per_kb = 1024;
constexpr std::uint64_t bytes_per_mb = 1024 * bytes_per_kb;
constexpr double calm_share = 1.5;
constexpr auto settle_limit = std::chrono::seconds(20);
constexpr auto settle_interval = std::chrono::milliseconds(500);

constexpr std::string_view configuration = R"({"version":1,
"routes":[{"name":"checks","host":"reg.example","pathPrefix":"/checks/",
"type":"unsafe","timeoutMs":3000,"targetLatencyMs":600,"priority":0,
"service":"pool","maxAttempts":2,"stretch":2.0}],
"services":[{"name":"pool","admissionCheck":true,"standby":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,
"idleTimeoutMs":15000}})";

} // namespace

std::string to_string(const process_usage& used)
{
    return std::to_string(used.resident_bytes / bytes_per_mb) +
           " MB, at its peak " +
           std::to_string(used.peak_bytes / bytes_per_mb) + " MB, " +
           std::to_string(used.descriptors) + " descriptors";
}

flooded_node::flooded_node()
    : platform_(
          "testsuite/standins/fleet/standin-fleet", {},
          folder_.path() / "platform.err"),
      platform_address_(platform_.address_of("platform")),
      node_(start_node()),
      callers_(node_.address_of("callers"))
{
    if (!serves())
        throw std::runtime_error("the node doesn't come to serve");
    calm_bytes_ = used().peak_bytes;
}

child_process flooded_node::start_node() const
{
    post(platform_address_, "/configuration", std::string(configuration));
    const auto platform = dandeliontack::to_string(platform_address_);
    const auto path = folder_.write(
        "node.ini", "[node]\nname = n1\ndata_centre = dc-1\n"
                    "[listen]\ncallers = 127.0.0.1:0\nreadiness = 127.0.0.1:0\n"
                    "metrics = 127.0.0.1:0\npeers = 127.0.0.1:0\n"
                    "[store]\naddress = " +
                        platform + "\n[machines]\naddress = " + platform +
                        "\n[limits]\nmemory_mb = " +
                        std::to_string(memory_bytes / bytes_per_mb) +
                        "\ndescriptors = " + std::to_string(descriptors) +
                        "\n");
    return {
        "src/tack-node/tack-node",
        {"--settings", path},
        folder_.path() / "node.err"};
}

bool flooded_node::serves()
{
    return eventually([&] {
        try
        {
            http_request request(http::verb::get, "/checks/", 11);
            request.set(http::field::host, "reg.example");
            return call(callers_, std::move(request)).result() ==
                   http::status::ok;
        }
        catch (const std::runtime_error&)
        {
            return false;
        }
    });
}

void flooded_node::settle()
{
    const auto until = std::chrono::steady_clock::now() + settle_limit;
    auto before = used();
    while (std::chrono::steady_clock::now() < until)
    {
        std::this_thread::sleep_for(settle_interval);
        const auto now = used();
        most_descriptors_ = std::max(most_descriptors_, now.descriptors);
        if (now.resident_bytes <= before.resident_bytes)
            return;
        before = now;
    }
}

std::uint64_t flooded_node::most_bytes() const
{
    return std::max(
        memory_bytes, static_cast<std::uint64_t>(
                          calm_share * static_cast<double>(calm_bytes_)));
}

process_usage flooded_node::used() const
{
    const auto folder =
        std::filesystem::path("/proc") / std::to_string(node_.pid());
    std::ifstream status(folder / "status");
    process_usage out;
    for (std::string line; std::getline(status, line);)
    {
        if (line.starts_with("VmRSS:"))
            out.resident_bytes = std::stoull(line.substr(6)) * bytes_per_kb;
        if (line.starts_with("VmHWM:"))
            out.peak_bytes = std::stoull(line.substr(6)) * bytes_per_kb;
    }
    // A process that has ended has no memory any more.
    if (out.peak_bytes == 0)
        throw std::runtime_error("the node has ended");
    out.descriptors = static_cast<std::size_t>(std::distance(
        std::filesystem::directory_iterator(folder / "fd"),
        std::filesystem::directory_iterator()));
    return out;
}

} // namespace dandeliontack::harness
