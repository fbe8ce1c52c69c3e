#include <dandeliontack/incarnation.hpp>

#include <iomanip>
#include <random>
#include <sstream>

namespace dandeliontack
{

incarnation make_incarnation()
{
    std::random_device source;
    const auto draw = [&] {
        return (static_cast<std::uint64_t>(source()) << 32U) | source();
    };
    return {draw(), draw()};
}

std::string to_string(const incarnation& value)
{
    std::ostringstream text;
    text << std::hex << std::setfill('0') << std::setw(16) << value.high
         << std::setw(16) << value.low;
    return text.str();
}

} // namespace dandeliontack
