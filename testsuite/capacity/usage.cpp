#include "usage.hpp"

#include <malloc.h>
#include <time.h>
#include <unistd.h>

#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>

namespace dandeliontack::capacity
{

namespace
{

// Fields of /proc/PID/stat behind the program's name, counted from 0.
constexpr int user_ticks_field = 11;
constexpr int resident_pages_field = 21;

} // namespace

process_usage read_usage(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/stat");
    std::string text;
    if (!std::getline(file, text))
        throw std::runtime_error("a measured process has ended");
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    std::uint64_t user = 0;
    std::uint64_t system = 0;
    std::uint64_t pages = 0;
    for (int i = 0; i < user_ticks_field; ++i)
        fields >> skipped;
    fields >> user >> system;
    for (int i = user_ticks_field + 2; i < resident_pages_field; ++i)
        fields >> skipped;
    fields >> pages;
    const auto ticks_a_second =
        static_cast<std::uint64_t>(sysconf(_SC_CLK_TCK));
    const auto page = static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
    return {
        std::chrono::milliseconds((user + system) * 1000 / ticks_a_second),
        pages * page};
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
