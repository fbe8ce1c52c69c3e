#include <dandeliontack/boot_clock.hpp>

#include <ctime>

namespace dandeliontack
{

boot_clock::time_point boot_clock::now() noexcept
{
    timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return time_point(
        std::chrono::seconds(value.tv_sec) +
        std::chrono::nanoseconds(value.tv_nsec));
}

moment read_clocks()
{
    using std::chrono::floor;
    using std::chrono::milliseconds;
    return {
        floor<milliseconds>(boot_clock::now()),
        floor<milliseconds>(std::chrono::system_clock::now())};
}

} // namespace dandeliontack
