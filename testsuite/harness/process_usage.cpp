#include "process_usage.hpp"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <thread>

namespace dandeliontack::harness
{

namespace
{

constexpr std::uint64_t bytes_per_kb = 1024;
constexpr std::uint64_t bytes_per_mb = 1024 * bytes_per_kb;
constexpr double calm_share = 1.5;
constexpr auto settle_limit = std::chrono::seconds(20);
constexpr auto settle_interval = std::chrono::milliseconds(500);

} // namespace

std::string to_string(const process_usage& used)
{
    return std::to_string(used.resident_bytes / bytes_per_mb) +
           " MB, at its peak " +
           std::to_string(used.peak_bytes / bytes_per_mb) + " MB, " +
           std::to_string(used.descriptors) + " descriptors";
}

process_usage usage_of(pid_t process)
{
    const auto folder =
        std::filesystem::path("/proc") / std::to_string(process);
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
        throw std::runtime_error("the process has ended");
    out.descriptors = static_cast<std::size_t>(std::distance(
        std::filesystem::directory_iterator(folder / "fd"),
        std::filesystem::directory_iterator()));
    return out;
}

small_machine::small_machine(pid_t process)
    : process_(process), calm_bytes_(usage_of(process).peak_bytes)
{}

std::string small_machine::limits_section()
{
    return "[limits]\nmemory_mb = " +
           std::to_string(memory_bytes / bytes_per_mb) +
           "\ndescriptors = " + std::to_string(descriptors) + "\n";
}

void small_machine::settle()
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

std::uint64_t small_machine::most_bytes() const
{
    return std::max(
        memory_bytes, static_cast<std::uint64_t>(
                          calm_share * static_cast<double>(calm_bytes_)));
}

} // namespace dandeliontack::harness
