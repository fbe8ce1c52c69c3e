#include <dandeliontack/slot_share.hpp>

namespace dandeliontack
{

std::uint64_t slot_share(
    std::uint64_t slots, std::uint64_t sharers, std::uint64_t index,
    std::string_view worker)
{
    constexpr std::uint64_t basis = 14695981039346656037U;
    constexpr std::uint64_t prime = 1099511628211U;
    auto hash = basis;
    for (const unsigned char byte : worker)
        hash = (hash ^ byte) * prime;
    const auto turn = (index + hash % sharers) % sharers;
    return slots / sharers + (turn < slots % sharers ? 1 : 0);
}

} // namespace dandeliontack
