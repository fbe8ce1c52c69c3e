#include "usage.hpp"

#include <malloc.h>
#include <time.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <string>

namespace dandeliontack::capacity
{

namespace
{

// The sum over its threads; those that have ended don't count.
std::chrono::nanoseconds processor_time_of(pid_t process)
{
    const auto threads = "/proc/" + std::to_string(process) + "/task";
    std::int64_t total = 0;
    for (const auto& thread : std::filesystem::directory_iterator(threads))
    {
        std::ifstream file(thread.path() / "schedstat");
        std::int64_t nanoseconds = 0;
        file >> nanoseconds;
        total += nanoseconds;
    }
    return std::chrono::nanoseconds(total);
}

std::uint64_t resident_bytes_of(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/statm");
    std::uint64_t whole = 0;
    std::uint64_t resident = 0;
    if (!(file >> whole >> resident))
        throw std::runtime_error("a measured process has ended");
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

} // namespace

process_usage read_usage(pid_t process)
{
    return {processor_time_of(process), resident_bytes_of(process)};
}

std::chrono::nanoseconds thread_processor_time()
{
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return std::chrono::seconds(now.tv_sec) +
           std::chrono::nanoseconds(now.tv_nsec);
}

std::uint64_t heap_bytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

} // namespace dandeliontack::capacity
